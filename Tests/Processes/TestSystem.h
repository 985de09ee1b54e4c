#pragma once

#include "TestCall.h"
#include "TestProcess.h"

#include <LibConfiguration/Configuration.h>
#include <LibOperator/OperatorClient.h>

#include <QTemporaryDir>

#include <map>
#include <vector>

namespace Chicorydock {

/// A deployment of separate processes on loopback: a fake platform, fake endpoints and nodes. All endpoints and nodes
/// are in the list of VMs. The configuration has the engine service `engine` with the model `m`, the plain service
/// `ledger`, whose route `POST /certificates` is unrepeatable, and the workspace `w` with the key `key`.
class TestSystem {
public:
    TestSystem();

    /// Starts a node and, if it is the first, puts the configuration into force. Returns its id.
    std::string addNode(const std::string& failureDomain = "d1", const QString& extraSettings = {});
    std::string addEngine(const std::string& failureDomain = "d1", const QStringList& arguments = {});
    std::string addService(const std::string& failureDomain = "d1");

    TestProcess& process(const std::string& id) { return *m_processes.at(id); }
    TestProcess& platform() { return *m_platform; }
    /// Starts a node again with the same id, as after a replacement of its VM.
    void restartNode(const std::string& id);

    /// Returns the HTTP address of a node or an endpoint.
    std::string address(const std::string& id) const;
    OperatorClient& operatorOf(const std::string& node);

    /// Marks an endpoint or node as leaving in the platform's list of VMs.
    void markLeaving(const std::string& id);
    /// Removes an endpoint or node from the platform's list of VMs.
    void removeFromVmList(const std::string& id);

    /// Sends a control message to an endpoint, or to the platform if the id is empty.
    void control(const std::string& id, const QJsonObject&);
    QJsonObject counters(const std::string& id);

    /// Waits until the node is ready and uses at least `engines` endpoints of the engine service.
    void waitUntilReady(const std::string& node, size_t engines);

    std::unique_ptr<TestCall> call(const std::string& id, const QByteArray& method, const QByteArray& target,
        const QByteArray& body = {}, HttpHeaders headers = {});
    std::unique_ptr<TestCall> post(
        const std::string& node, const QByteArray& target, const QJsonObject& body, const HttpHeaders& headers = {});

    static Configuration configuration();
    /// Returns the body of a completion request.
    static QJsonObject completion(const QString& prompt, int maxTokens = 8, bool isStream = false);
    /// Returns the item lines of a job with `count` completions.
    static std::string jobLines(int count, int maxTokens = 4);

private:
    struct Entry {
        QJsonObject vm;
        QString failureDomain;
        QString extraSettings;
    };

    std::string platformAddress() const { return m_platform->ready("address"); }
    void startNode(const std::string& id, const Entry&);
    /// Returns the RPC addresses of the nodes started so far, for the settings of a new one.
    QString seeds() const;
    void publishVmList();
    std::string addEndpoint(const std::string& service, const QString& program, const std::string& failureDomain,
        const QStringList& arguments);
    QString logFile(const std::string& id) const;

    QTemporaryDir m_folder;
    PooledHttpClient m_client;
    std::unique_ptr<TestProcess> m_platform;
    std::map<std::string, std::unique_ptr<TestProcess>> m_processes;
    std::map<std::string, Entry> m_entries;
    std::map<std::string, std::unique_ptr<OperatorClient>> m_operators;
    int m_lastNumber { 0 };
    bool m_isConfigured { false };
};

}
