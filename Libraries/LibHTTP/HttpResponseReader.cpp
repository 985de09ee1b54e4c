#include <LibHTTP/HttpResponseReader.h>

#include <utility>

namespace Chicorydock {

namespace {

    HttpResponseReader& readerOf(http_parser* parser) { return *static_cast<HttpResponseReader*>(parser->data); }

}

HttpResponseReader::HttpResponseReader(HttpResponseListener& listener)
    : m_listener(listener)
{
    reset();
}

void HttpResponseReader::reset(const QByteArray& method)
{
    m_isResponseToHead = method == "HEAD";
    http_parser_init(&m_parser, HTTP_RESPONSE);
    m_parser.data = this;
    m_headers = {};
    m_fieldName.clear();
    m_fieldValue.clear();
    m_isInValue = false;
    m_isComplete = false;
    m_keepsConnection = false;
}

bool HttpResponseReader::consume(QByteArrayView& input)
{
    while (!input.empty() && !m_isComplete) {
        const size_t n = http_parser_execute(&m_parser, &callbacks(), input.data(), static_cast<size_t>(input.size()));
        input = input.sliced(static_cast<qsizetype>(n));
        const http_errno ec = HTTP_PARSER_ERRNO(&m_parser);
        if (ec == HPE_PAUSED) {
            http_parser_pause(&m_parser, 0);
            continue;
        }
        if (ec != HPE_OK || m_parser.upgrade)
            return false;
    }
    return true;
}

void HttpResponseReader::finishInput()
{
    if (!m_isComplete)
        http_parser_execute(&m_parser, &callbacks(), nullptr, 0);
}

const http_parser_settings& HttpResponseReader::callbacks()
{
    static const http_parser_settings settings = [] {
        http_parser_settings it;
        http_parser_settings_init(&it);
        it.on_message_begin = &HttpResponseReader::handleBegin;
        it.on_header_field = &HttpResponseReader::handleField;
        it.on_header_value = &HttpResponseReader::handleValue;
        it.on_headers_complete = &HttpResponseReader::handleHeadersEnd;
        it.on_body = &HttpResponseReader::handleBody;
        it.on_message_complete = &HttpResponseReader::handleMessageEnd;
        return it;
    }();
    return settings;
}

int HttpResponseReader::handleBegin(http_parser* parser)
{
    readerOf(parser).m_headers = {};
    return 0;
}

int HttpResponseReader::handleField(http_parser* parser, const char* data, size_t size)
{
    HttpResponseReader& self = readerOf(parser);
    if (std::exchange(self.m_isInValue, false))
        self.addField();
    self.m_fieldName.append(data, static_cast<qsizetype>(size));
    return 0;
}

int HttpResponseReader::handleValue(http_parser* parser, const char* data, size_t size)
{
    HttpResponseReader& self = readerOf(parser);
    self.m_isInValue = true;
    self.m_fieldValue.append(data, static_cast<qsizetype>(size));
    return 0;
}

void HttpResponseReader::addField() { m_headers.add(std::exchange(m_fieldName, {}), std::exchange(m_fieldValue, {})); }

bool HttpResponseReader::hasNoBody() const
{
    return m_isResponseToHead || m_parser.status_code == 204 || m_parser.status_code == 304;
}

int HttpResponseReader::handleHeadersEnd(http_parser* parser)
{
    HttpResponseReader& self = readerOf(parser);
    if (std::exchange(self.m_isInValue, false))
        self.addField();
    constexpr int skipBody = 1;
    if (self.isInterim())
        return skipBody;
    self.m_listener.onResponseHeaders(parser->status_code, self.m_headers);
    return self.hasNoBody() ? skipBody : 0;
}

int HttpResponseReader::handleBody(http_parser* parser, const char* data, size_t size)
{
    readerOf(parser).m_listener.onResponseBody(QByteArrayView(data, static_cast<qsizetype>(size)));
    return 0;
}

int HttpResponseReader::handleMessageEnd(http_parser* parser)
{
    HttpResponseReader& self = readerOf(parser);
    if (self.isInterim())
        return 0;
    self.m_isComplete = true;
    self.m_keepsConnection = http_should_keep_alive(parser) != 0;
    http_parser_pause(parser, 1);
    return 0;
}

}
