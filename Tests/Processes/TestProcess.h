#pragma once

#include <QJsonObject>
#include <QProcess>

#include <string>

namespace Chicorydock {

/// A program of this project, started by a test and ended with it.
class TestProcess {
public:
    /// Starts the program and reads the line with which it says that it is ready. Fails the test if it does not start.
    /// Its log goes to `logFile`.
    TestProcess(const QString& program, const QStringList& arguments, const QString& logFile);
    ~TestProcess();

    TestProcess(const TestProcess&) = delete;
    TestProcess& operator=(const TestProcess&) = delete;

    /// Returns a member of the line that the program printed when it was ready.
    std::string ready(const char* member) const;

    bool isRunning() const { return m_process.state() == QProcess::Running; }
    void kill();
    /// Stops the process as a debugger would, so that it does nothing until `resume()`.
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
