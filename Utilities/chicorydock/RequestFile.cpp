#include <Utilities/chicorydock/RequestFile.h>

#include <algorithm>
#include <cctype>
#include <sstream>

namespace Chicorydock {

namespace {

    std::string lowercase(std::string text)
    {
        std::ranges::transform(text, text.begin(), [](unsigned char it) { return std::tolower(it); });
        return text;
    }

    bool describesBody(const std::string& field)
    {
        const std::string name = lowercase(field.substr(0, field.find(':')));
        return name == "content-length" || name == "transfer-encoding";
    }

}

std::string toRequestMessage(const std::string& content)
{
    std::istringstream in(content);
    std::string head;
    bool isBodyDescribed = false;
    for (std::string line; std::getline(in, line) && !line.empty() && line != "\r";) {
        if (line.ends_with('\r'))
            line.pop_back();
        isBodyDescribed = isBodyDescribed || describesBody(line);
        head += line + "\r\n";
    }
    std::string body(std::istreambuf_iterator<char>(in), {});
    if (!isBodyDescribed && body.ends_with('\n'))
        body.pop_back();
    if (!isBodyDescribed && !body.empty())
        head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return head + "\r\n" + body;
}

}
