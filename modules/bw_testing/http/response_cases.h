// Responses to a request with the id `r1`, for the tests of everything that
// reads responses. Each has the body `result`, unless it is broken.
#ifndef BW_TESTING_HTTP_RESPONSE_CASES_H
#define BW_TESTING_HTTP_RESPONSE_CASES_H

#include <string>

namespace bw {

struct response_case {
  const char *Name;
  std::string Bytes;
};

// A response that is valid but for its status line.
inline std::string withStatusLine(const std::string &Line) {
  return Line + "\r\nBw-Request-Id: r1\r\nContent-Length: 6\r\n\r\nresult";
}

// A response that is valid but for these lines of its head.
inline std::string withLines(const std::string &Lines,
                             const std::string &Status = "200 OK") {
  return "HTTP/1.1 " + Status + "\r\nBw-Request-Id: r1\r\n" + Lines +
         "Content-Length: 6\r\n\r\nresult";
}

// A response whose body is framed by these lines.
inline std::string framed(const std::string &Lines, const std::string &Body,
                          const std::string &Version = "1.1") {
  return "HTTP/" + Version + " 200 OK\r\nBw-Request-Id: r1\r\n" + Lines +
         "\r\n" + Body;
}

inline std::string chunked(const std::string &Body) {
  return framed("Transfer-Encoding: chunked\r\n", Body);
}

inline const response_case BrokenStatusLines[] = {
    {"status 000", withStatusLine("HTTP/1.1 000 None")},
    {"status 000 that claims not to have run",
     "HTTP/1.1 000 None\r\nBw-Request-Id: r1\r\nBw-Not-Run: 1\r\n"
     "Content-Length: 0\r\n\r\n"},
    {"status 099", withStatusLine("HTTP/1.1 099 Low")},
    {"status 600", withStatusLine("HTTP/1.1 600 High")},
    {"status 999", withStatusLine("HTTP/1.1 999 High")},
    {"one digit", withStatusLine("HTTP/1.1 2 OK")},
    {"two digits", withStatusLine("HTTP/1.1 20 OK")},
    {"four digits", withStatusLine("HTTP/1.1 0200 OK")},
    {"five digits", withStatusLine("HTTP/1.1 20000 OK")},
    {"a sign", withStatusLine("HTTP/1.1 +20 OK")},
    {"a letter", withStatusLine("HTTP/1.1 2x0 OK")},
    {"no status", withStatusLine("HTTP/1.1 ")},
    {"no blank behind the status", withStatusLine("HTTP/1.1 200OK")},
    {"two blanks before the status", withStatusLine("HTTP/1.1  200 OK")},
    {"a control byte in the reason", withStatusLine("HTTP/1.1 200 O\x01K")},
    {"a bare CR in the reason", withStatusLine("HTTP/1.1 200 O\rK")},
    {"version 0.9", withStatusLine("HTTP/0.9 200 OK")},
    {"version 2.0", withStatusLine("HTTP/2.0 200 OK")},
    {"no minor version", withStatusLine("HTTP/1 200 OK")},
    {"lower case", withStatusLine("http/1.1 200 OK")},
    {"another protocol", withStatusLine("ICY 200 OK")},
    {"a request", withStatusLine("GET / HTTP/1.1")},
    {"an empty line before it", withStatusLine("\r\nHTTP/1.1 200 OK")},
    {"a protocol switch", withStatusLine("HTTP/1.1 101 Switching Protocols")},
    {"a protocol switch with its fields",
     "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\n"
     "Upgrade: other\r\n\r\n"},
    {"a broken one behind an interim response",
     "HTTP/1.1 100 Continue\r\n\r\n" + withStatusLine("HTTP/1.1 000 None")}};

inline const response_case BrokenFields[] = {
    {"a blank in a name", withLines("X Y: b\r\n")},
    {"a blank behind a name", withLines("X-Y : b\r\n")},
    {"a tab behind a name", withLines("X-Y\t: b\r\n")},
    {"a blank before a name", withLines(" X-Y: b\r\n")},
    {"a control byte in a name", withLines("X\x01Y: b\r\n")},
    {"DEL in a name", withLines("X\x7fY: b\r\n")},
    {"a byte above ASCII in a name", withLines("X\xc3\xa9Y: b\r\n")},
    {"a separator in a name", withLines("X(Y): b\r\n")},
    {"no name", withLines(": b\r\n")},
    {"no colon", withLines("X-Y\r\n")},
    {"a control byte at the start of a value", withLines("X: \x01"
                                                         "b\r\n")},
    {"a control byte in a value", withLines("X: b\x01"
                                            "c\r\n")},
    {"DEL in a value", withLines("X: b\x7f"
                                 "c\r\n")},
    {"NUL in a value", withLines("X: b" + std::string(1, '\0') + "c\r\n")},
    {"a bare CR in a value", withLines("X: b\rc\r\n")},
    {"a folded value", withLines("X: b\r\n c\r\n")},
    {"a value folded by a tab", withLines("X: b\r\n\tc\r\n")},
    {"a folded value at the end of the head",
     framed("Content-Length: 6\r\n Y: b\r\n", "result")},
    {"a head that ends in a bare CR",
     framed("Content-Length: 6\r\n\rX", "result")},
    {"a blank in the name of the length",
     framed("Content-Length : 6\r\n", "result")},
    {"a blank in the name of the coding",
     framed("Transfer-Encoding : chunked\r\n", "6\r\nresult\r\n0\r\n\r\n")},
    {"a hidden length", framed("X: b\r\nContent-Length\x01: 3\r\n"
                               "Content-Length: 6\r\n",
                               "result")},
    {"a refusal with a blank in a name",
     withLines("Bw-Not-Run: 1\r\nX Y: b\r\n", "503 Full")},
    {"a refusal whose mark has a blank in its name",
     withLines("Bw-Not-Run : 1\r\n", "503 Full")},
    {"a broken field in an interim response",
     "HTTP/1.1 103 Early Hints\r\nX Y: b\r\n\r\n" + withLines("")}};

} // namespace bw

#endif
