#include "RecordingListener.h"

#include <LibHTTP/HttpResponseReader.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace Chicorydock;

namespace {

/// What a caller gets of one response whose connection ends in order after it.
struct Reading {
    int heads { 0 };
    int status { 0 };
    QByteArray body;
    bool isRefused { false };
    bool isComplete { false };
    std::string problem;
};

Reading read(const QByteArray& bytes, qsizetype piece)
{
    RecordingListener listener;
    HttpResponseReader reader(listener);
    Reading reading;
    for (qsizetype at = 0; at < bytes.size() && !reading.isRefused && !reader.isComplete(); at += piece) {
        QByteArrayView input = QByteArrayView(bytes).sliced(at, std::min(piece, bytes.size() - at));
        reading.isRefused = !reader.consume(input);
    }
    if (!reading.isRefused)
        reader.finishInput();
    reading.heads = listener.heads;
    reading.status = listener.status;
    reading.body = listener.body;
    reading.isComplete = !reading.isRefused && reader.isComplete();
    reading.problem = reader.problem();
    return reading;
}

/// The sizes of the pieces in which a response arrives: single bytes, some that cut lines anywhere, and whole.
const std::vector<qsizetype> pieces { 1, 7, 100'000 };

const QByteArray signature = "Server-Signature: a.b\r\n";
const QByteArray body = "twelve bytes";
const QByteArray ok = "HTTP/1.1 200 OK\r\n";

/// Checks that a response is refused before its caller gets anything of it.
void checkRefusedHead(const QByteArray& bytes)
{
    for (const qsizetype piece : pieces) {
        CAPTURE(bytes.toStdString(), piece);
        const Reading reading = read(bytes, piece);
        CHECK(reading.isRefused);
        CHECK_FALSE(reading.isComplete);
        CHECK(reading.heads == 0);
        CHECK(reading.body.isEmpty());
        CHECK_FALSE(reading.problem.empty());
    }
}

/// Checks that a response whose body is spoilt is not complete, whatever its caller has got by then.
void checkRefusedBody(const QByteArray& bytes)
{
    for (const qsizetype piece : pieces) {
        CAPTURE(bytes.toStdString(), piece);
        const Reading reading = read(bytes, piece);
        CHECK(reading.isRefused);
        CHECK_FALSE(reading.isComplete);
        CHECK(body.startsWith(reading.body));
    }
}

void checkTaken(const QByteArray& bytes, int status = 200, const QByteArray& expected = body)
{
    for (const qsizetype piece : pieces) {
        CAPTURE(bytes.toStdString(), piece);
        const Reading reading = read(bytes, piece);
        CHECK_FALSE(reading.isRefused);
        CHECK(reading.problem.empty());
        CHECK(reading.isComplete);
        CHECK(reading.heads == 1);
        CHECK(reading.status == status);
        CHECK(reading.body == expected);
    }
}

QByteArray withStatusLine(const QByteArray& line)
{
    return line + "\r\n" + signature + "Content-Length: 12\r\n\r\n" + body;
}

/// Puts field lines, each with its end, into the head of a response.
QByteArray withFields(const QByteArray& lines, const QByteArray& rest = body)
{
    return ok + signature + lines + "Date: x\r\n\r\n" + rest;
}

QByteArray withLengthAndField(const QByteArray& line) { return withFields("Content-Length: 12\r\n" + line + "\r\n"); }

QByteArray chunked(const QByteArray& chunks) { return withFields("Transfer-Encoding: chunked\r\n", chunks); }

QByteArray nameWith(char byte) { return QByteArray("X-Na") + byte + "me: value"; }

}

// RFC 9110, section 15: a status has three digits, from 100 to 599. RFC 9112, section 4: one space before it.
TEST_CASE("a response without a valid status is refused")
{
    for (const char* it : { "000", "001", "099", "600", "601", "999", "0", "7", "20", "0200", "00200", "2000", "-200",
             "+200", "2 0", "20x", "abc", "0x1", "1e2", "" })
        checkRefusedHead(withStatusLine("HTTP/1.1 " + QByteArray(it) + " OK"));
    for (const char* it : { "HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1  200 OK",
             "HTTP/1.1 200OK", "HTTP/1.1 200\tOK" })
        checkRefusedHead(withStatusLine(it));
    checkRefusedHead(withStatusLine(QByteArray("HTTP/1.1 200 O\0K", 16)));
    checkRefusedHead(withStatusLine("HTTP/1.1 200 O\x01K"));
}

TEST_CASE("a response with a valid status is taken, whether or not the status has a name")
{
    for (const int status : { 200, 201, 226, 299, 300, 400, 418, 429, 451, 500, 503, 599 }) {
        const QByteArray number = QByteArray::number(status);
        for (const char* reason : { " OK", " ", "", " Not quite: \t\xc3\xbc \xff", "  two spaces " })
            checkTaken(withStatusLine("HTTP/1.1 " + number + reason), status);
    }
}

// RFC 9112, section 2.3: the name of the protocol is case-sensitive. RFC 9110, section 2.5: a higher minor version is
// read as the highest that is known.
TEST_CASE("a response of another protocol is refused, and of any version of HTTP/1 taken")
{
    for (const char* it : { "HTTP/0.9", "HTTP/2.0", "HTTP/2", "HTTP/9.9", "HTTP/1", "HTTP/1.", "HTTP/1.x", "HTTP/1,1",
             "HTTP/11", "HTTP/1.11", "HTTP/01.1", "HTTP/ 1.1", "http/1.1", "Http/1.1", "HTTPS/1.1", "ICY", "RTSP/1.0",
             "HTP/1.1", "XHTTP/1.1", " HTTP/1.1", "\tHTTP/1.1", "\r\nHTTP/1.1", "" })
        checkRefusedHead(withStatusLine(it + QByteArray(" 200 OK")));
    for (const char* it : { "HTTP/1.0", "HTTP/1.1", "HTTP/1.2", "HTTP/1.9" })
        checkTaken(withStatusLine(it + QByteArray(" 200 OK")));
}

// Guards against callers that wait until their deadline for the rest of bytes that cannot become a response.
TEST_CASE("bytes that are no response are refused as soon as they differ from one")
{
    for (const QByteArray& bytes : { QByteArray("x"), QByteArray("\0", 1), QByteArray("\n"), QByteArray("HTTP/2"),
             QByteArray("{\"status\":200}"), QByteArray("HTTX"), chunked("c\r\ntwelve bytes, and more") }) {
        for (const qsizetype piece : pieces) {
            CAPTURE(bytes.toStdString(), piece);
            CHECK(read(bytes, piece).isRefused);
        }
    }
}

// RFC 9112, section 5, and RFC 9110, section 5.1: a name is a token, and the colon follows it at once.
TEST_CASE("a response with a field whose name is no token is refused")
{
    for (const char* it : { "X Name: value", "X-Name : value", "X-Name\t: value", "X\tName: value", ": value",
             " : value", "no colon", "X-Name", "(X): value", "X/Name: value", "X[0]: value", "X=1: value", "X,Y: value",
             "\"X\": value", "X@Y: value", "{X}: value", "X;Y: value", "X\xc3\xbc: value", "X\xff: value",
             "HTTP/1.1 200 OK", "Content Length: 12", "Content-Length : 12", "Server Signature: c.d" })
        checkRefusedHead(withLengthAndField(it));
    for (int byte = 0; byte < 256; ++byte) {
        const QByteArray line = nameWith(static_cast<char>(byte));
        const bool isLetterOrDigit = byte < 128 && std::isalnum(byte);
        const bool isOther
            = byte != 0 && std::string("!#$%&'*+-.^_`|~").find(static_cast<char>(byte)) != std::string::npos;
        // With a colon within it, the line has another name and another value.
        if (isLetterOrDigit || isOther || byte == ':')
            checkTaken(withLengthAndField(line));
        else
            checkRefusedHead(withLengthAndField(line));
    }
}

// RFC 9112, section 5.2: a gateway may discard a response with folded lines.
TEST_CASE("a response with a folded line is refused")
{
    for (const char* it : { " X-Name: value", "\tX-Name: value", " Content-Length: 12", " folded", " ", "\t" }) {
        checkRefusedHead(withFields(it + QByteArray("\r\n")));
        checkRefusedHead(withLengthAndField(it));
        checkRefusedHead(ok + it + "\r\n" + signature + "\r\n" + body);
    }
}

// RFC 9110, section 5.5: a value with CR, LF or NUL must not be passed on, and other control characters are invalid.
TEST_CASE("a response with a control character in a value is refused")
{
    for (int byte = 0; byte < 256; ++byte) {
        const QByteArray line = QByteArray("X-Name: val") + static_cast<char>(byte) + "ue";
        const bool isControl = (byte < 0x20 && byte != '\t') || byte == 0x7f;
        if (isControl)
            checkRefusedHead(withLengthAndField(line));
        else
            checkTaken(withLengthAndField(line));
    }
}

TEST_CASE("a response with odd but valid fields is taken")
{
    for (const char* it : { "X-Name:", "X-Name: ", "X-Name:value", "X-Name: \t value \t", "X-Name: a:b",
             "x: \xc3\xbc\xff", "!#$%&'*+-.^_`|~: value", "X-Name: a, b;c=\"d\"", "X-Name: value\r\nX-Name: value",
             "Content-Lengths: 13", "Upgrade: h2c", "Trailer: X", "Connection: X-Name, keep-alive" })
        checkTaken(withLengthAndField(it));
}

// RFC 9112, section 2.2: a line ends with CR LF. A recipient may take a bare LF; this one does not.
TEST_CASE("a response whose lines do not end with CR LF is refused")
{
    checkRefusedHead("HTTP/1.1 200 OK\n" + signature + "Content-Length: 12\r\n\r\n" + body);
    checkRefusedHead(ok + "Server-Signature: a.b\nContent-Length: 12\r\n\r\n" + body);
    checkRefusedHead(ok + "Server-Signature: a.b\rContent-Length: 12\r\n\r\n" + body);
    checkRefusedHead(ok + "Content-Length: 12\r\n\n" + body);
    checkRefusedHead(ok + "Content-Length: 12\r\n\r\r\n" + body);
}

// RFC 9110, section 8.6, and RFC 9112, section 6.3.
TEST_CASE("a response whose length is no number is refused")
{
    for (const char* it : { "", " ", "twelve", "12x", "x12", "-12", "+12", "0x0c", "1 2", "12 12", "12,12", "12, 12",
             "12, 13", "12,", ",12", "12.0", "1e1", "\"12\"", "12;", "99999999999999999999999", "18446744073709551628",
             "9223372036854775808" })
        checkRefusedHead(withFields("Content-Length: " + QByteArray(it) + "\r\n"));
    checkRefusedHead(withFields("Content-Length: 12\r\nContent-Length: 12\r\n"));
    checkRefusedHead(withFields("Content-Length: 12\r\nContent-Length: 13\r\n"));
    checkRefusedHead(withFields("Content-Length: 12\r\ncontent-length: 5\r\n"));
}

TEST_CASE("a response with a length that is a number is taken")
{
    for (const char* it : { "12", "012", "0000000000000000000000012", " \t12 \t" })
        checkTaken(withFields("Content-Length:" + QByteArray(it) + "\r\n"));
    checkTaken(withFields("CONTENT-LENGTH: 12\r\n"));
    checkTaken(withFields("Content-Length: 0\r\n", ""), 200, "");
}

// RFC 9112, sections 6.1, 6.3 and 7.1: without `chunked` as the only coding, the end of the body is not known, or its
// bytes are not the ones that the endpoint means.
TEST_CASE("a response with a transfer coding that is not chunked alone is refused")
{
    const QByteArray chunks = "c\r\ntwelve bytes\r\n0\r\n\r\n";
    for (const char* it : { "", "chunke", "chunkedd", "xchunked", "chunk ed", "\"chunked\"", "chunked;q=1", "chunked;",
             "chunked, chunked", "chunked, gzip", "gzip, chunked", "gzip", "identity", "identity, chunked", "chunked,",
             ", chunked", "chunked identity", "deflate" })
        checkRefusedHead(withFields("Transfer-Encoding: " + QByteArray(it) + "\r\n", chunks));
    checkRefusedHead(withFields("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", chunks));
    checkRefusedHead(withFields("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", chunks));
    checkRefusedHead(withFields("Transfer-Encoding: chunked\r\nContent-Length: 12\r\n", chunks));
    checkRefusedHead(withFields("Content-Length: 12\r\nTransfer-Encoding: chunked\r\n", chunks));
    checkRefusedHead("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks);
    checkTaken(withFields("Transfer-Encoding: chunked\r\n", chunks));
    checkTaken(withFields("transfer-encoding: \tCHUNKED \r\n", chunks));
}

// RFC 9112, section 7.1.
TEST_CASE("a response with a spoilt chunk is not complete")
{
    for (const char* it : { "", " c", "c ", "c\t", "0xc", "+c", "-c", "g", "c x", "c,", "c:", "c=", "c;", "c;;", "c;=a",
             "c; =a", "c;a=", "c;a=\"b", "c;a=\"b\"c", "c;a b", "c;a=b c", "c;\x01", "c\"", "c.0", "cx",
             "fffffffffffffffff", "7fffffffffffffff", "10000000000000000c" })
        checkRefusedBody(chunked(QByteArray(it) + "\r\ntwelve bytes\r\n0\r\n\r\n"));
    checkRefusedBody(chunked("c\ntwelve bytes\r\n0\r\n\r\n"));
    checkRefusedBody(chunked("c\r\ntwelve bytesX\r\n0\r\n\r\n"));
    checkRefusedBody(chunked("c\r\ntwelve bytes\n0\r\n\r\n"));
    checkRefusedBody(chunked("b\r\ntwelve bytes\r\n0\r\n\r\n"));
    checkRefusedBody(chunked("c\r\ntwelve bytes\r\n0 x\r\n\r\n"));
    checkRefusedBody(chunked("c\r\ntwelve bytes\r\n\r\n\r\n"));
}

TEST_CASE("a response with odd but valid chunks is taken")
{
    for (const char* it : { "c", "C", "0c", "00000000000000000000c", "c;a", "c;a=b", "c;a=\"b c\\\"\xff\"", "c ; a = b",
             "c\t;\ta", "c;a;b=c;d" })
        checkTaken(chunked(QByteArray(it) + "\r\ntwelve bytes\r\n0\r\n\r\n"));
    checkTaken(chunked("1\r\nt\r\n0b;a=b\r\nwelve bytes\r\n000;a=b\r\n\r\n"));
}

// RFC 9112, section 7.1.2, and RFC 9110, section 6.5.1: no trailer describes the framing.
TEST_CASE("a response with a spoilt trailer is not complete")
{
    const QByteArray chunks = "c\r\ntwelve bytes\r\n0\r\n";
    for (const char* it : { "no colon", "X Name: a", "X-Name : a", " X-Name: a", ": a", "X\x01: a", "X: a\x01",
             "X: a\r\n folded", "Content-Length: 12", "Content-Length: 13", "Transfer-Encoding: chunked" })
        checkRefusedBody(chunked(chunks + it + "\r\n\r\n"));
    for (const char* it : { "X-Name: a\r\n", "X-Name:\r\nX-Name: \xc3\xbc\r\n", "Server-Signature: c.d\r\n", "" })
        checkTaken(chunked(chunks + it + "\r\n"));
}

// RFC 9110, section 15.2: interim responses are passed over. No other protocol has been offered (section 7.8).
TEST_CASE("an interim response is checked like the response after it")
{
    const QByteArray response = withStatusLine("HTTP/1.1 200 OK");
    for (const char* it : { "HTTP/1.1 100 Continue\r\n", "HTTP/1.1 100\r\n", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n",
             "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\n", "HTTP/1.1 199 \r\n" })
        checkTaken(it + QByteArray("\r\n") + response);
    for (const char* it : { "HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\nConnection: upgrade\r\n",
             "HTTP/1.1 101 Switching Protocols\r\n", "HTTP/1.1 10 Continue\r\n", "HTTP/1.1 100 Continue\r\nX Y: z\r\n",
             "HTTP/1.1 100 Continue\r\nno colon\r\n", "HTTP/1.1 100 Continue\r\nContent-Length: x\r\n",
             "HTTP/1.1 100 Continue\r\n folded\r\n", "HTTP/2.0 100 Continue\r\n", "HTTP/1.1 000 Continue\r\n",
             "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Continue\r\n" })
        checkRefusedHead(it + QByteArray("\r\n") + response);
}

// Guards against a head or a line that is kept without end.
TEST_CASE("a response with a line without end is refused")
{
    const QByteArray flood(200'000, 'a');
    CHECK(read("HTTP/1.1 200 " + flood, 1'000).isRefused);
    CHECK(read(ok + "X: " + flood, 1'000).isRefused);
    CHECK(read(chunked("c;" + flood), 1'000).isRefused);
    CHECK(read(chunked("0\r\nX: " + flood), 1'000).isRefused);
    QByteArray many;
    for (int n = 0; n < 20'000; ++n)
        many += "X: value\r\n";
    CHECK(read(ok + many + "\r\n", 1'000).isRefused);
    CHECK(read(chunked("0\r\n" + many + "\r\n"), 1'000).isRefused);
}
