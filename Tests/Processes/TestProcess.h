#pragma once

#include <QJsonObject>
#include <QProcess>

#include <string>

namespace Chicorydock {

/// A program of this project that is started by a test and killed at its end.
class TestProcess {
public:
    /// Starts the program and reads the line that it prints when it is ready. Fails the test if it does not start. Its
    /// log is appended to `logFile`.
    TestProcess(const QString& program, const QStringList& arguments, const QString& logFile);
    ~TestProcess();

    TestProcess(const TestProcess&) = delete;
    TestProcess& operator=(const TestProcess&) = delete;

    /// Returns a member of the JSON object that the program printed when it was ready.
    std::string ready(const char* member) const;

    bool isRunning() const { return m_process.state() == QProcess::Running; }
    void kill();
    /// Suspends the process with SIGSTOP until `resume()`.
    void freeze();
    void resume();
    void terminate();
    /// Waits for the end of the process and returns its exit status, or -1 if it crashed.
    int waitForExit();

private:
    QProcess m_process;
    QJsonObject m_ready;
};

}
