#pragma once

#include <string>

namespace Chicorydock {

/// Returns the request in a file as an HTTP/1.1 message. The file holds a request line, header fields, an empty line
/// and the body, if there is one. Its lines may end with a line feed only, and `Content-Length` is added if the file
/// states neither the length nor an encoding of the body; the line feed that ends the file is no part of the body then.
/// May be called from any thread.
std::string toRequestMessage(const std::string& content);

}
