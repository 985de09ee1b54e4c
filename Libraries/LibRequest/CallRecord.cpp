#include <LibRequest/CallRecord.h>

#include <LibCore/Error.h>

#include <QJsonDocument>
#include <QJsonObject>

namespace Chicorydock {

namespace {

    const QStringList& stateNames()
    {
        static const QStringList names { "started", "answered", "may_have_run" };
        return names;
    }

    QJsonObject toJson(const HttpResponse& answer)
    {
        return {
            { "status", answer.status },
            { "content_type", QString::fromUtf8(answer.headers.find("Content-Type").value_or(QByteArray {})) },
            { "body", QString::fromLatin1(answer.body.toBase64()) },
        };
    }

    HttpResponse answerFromJson(const QJsonObject& object)
    {
        HttpResponse answer;
        answer.status = object.value("status").toInt();
        answer.headers.add("Content-Type", object.value("content_type").toString().toUtf8());
        answer.body = QByteArray::fromBase64(object.value("body").toString().toLatin1());
        return answer;
    }

}

std::string CallRecord::toRow() const
{
    QJsonObject object {
        { "state", stateNames()[static_cast<int>(state)] },
        { "token", QString::fromStdString(writeToken) },
        { "digest", QString::fromStdString(digest) },
        { "unrepeatable", isUnrepeatable },
        { "deadline_ms", static_cast<qint64>(deadlineMs) },
    };
    if (answer)
        object.insert("answer", toJson(*answer));
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

CallRecord CallRecord::fromRow(const std::string& row)
{
    const QJsonObject object = QJsonDocument::fromJson(QByteArray::fromStdString(row)).object();
    const qsizetype state = stateNames().indexOf(object.value("state").toString());
    if (state < 0)
        throw Error { ErrorKind::Internal, "a row of the table 'calls' is not a call record" };
    CallRecord record;
    record.state = static_cast<State>(state);
    record.writeToken = object.value("token").toString().toStdString();
    record.digest = object.value("digest").toString().toStdString();
    record.isUnrepeatable = object.value("unrepeatable").toBool();
    record.deadlineMs = object.value("deadline_ms").toInteger();
    if (object.contains("answer"))
        record.answer = answerFromJson(object.value("answer").toObject());
    return record;
}

}
