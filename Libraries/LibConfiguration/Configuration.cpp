#include <LibConfiguration/Configuration.h>

#include <algorithm>

namespace Chicorydock {

namespace {

    template <typename Items>
    auto findByName(const Items& items, std::string_view name) -> const typename Items::value_type*
    {
        const auto it = std::ranges::find(items, name, &Items::value_type::name);
        return it == items.end() ? nullptr : &*it;
    }

}

const Service* Configuration::findService(std::string_view name) const { return findByName(services, name); }

const Model* Configuration::findModel(std::string_view name) const { return findByName(models, name); }

const Workspace* Configuration::findWorkspaceByName(std::string_view name) const
{
    return findByName(workspaces, name);
}

const Workspace* Configuration::findWorkspaceByKey(std::string_view keyDigest) const
{
    const auto it = std::ranges::find_if(workspaces, [&](const Workspace& workspace) {
        return std::ranges::find(workspace.keyDigests, keyDigest) != workspace.keyDigests.end();
    });
    return it == workspaces.end() ? nullptr : &*it;
}

}
