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

inline const response_case BrokenFraming[] = {
    {"no length in the field", framed("Content-Length:\r\n", "result")},
    {"a length that is no number", framed("Content-Length: six\r\n", "result")},
    {"a negative length", framed("Content-Length: -6\r\n", "result")},
    {"a length with a sign", framed("Content-Length: +6\r\n", "result")},
    {"a list of lengths", framed("Content-Length: 6, 6\r\n", "result")},
    {"two lengths",
     framed("Content-Length: 6\r\nContent-Length: 3\r\n", "result")},
    {"a length above 64 bits",
     framed("Content-Length: 99999999999999999999\r\n", "result")},
    {"a length and chunks",
     framed("Content-Length: 6\r\nTransfer-Encoding: chunked\r\n",
            "6\r\nresult\r\n0\r\n\r\n")},
    {"an unknown coding", framed("Transfer-Encoding: gzip\r\n", "result")},
    {"an unknown coding in chunks",
     framed("Transfer-Encoding: gzip, chunked\r\n",
            "6\r\nresult\r\n0\r\n\r\n")},
    {"a coding behind chunks", framed("Transfer-Encoding: chunked, gzip\r\n",
                                      "6\r\nresult\r\n0\r\n\r\n")},
    {"a coding that ends like chunked",
     framed("Transfer-Encoding: xchunked\r\n", "6\r\nresult\r\n0\r\n\r\n")},
    {"chunks in chunks",
     framed("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
            "6\r\nresult\r\n0\r\n\r\n")},
    {"chunks in HTTP/1.0", framed("Transfer-Encoding: chunked\r\n",
                                  "6\r\nresult\r\n0\r\n\r\n", "1.0")},
    {"a chunk longer than its length", chunked("6\r\nresultXX0\r\n\r\n")},
    {"a chunk that swallows the next", chunked("3\r\nresult\r\n0\r\n\r\n")},
    {"a chunk that ends in a bare CR", chunked("6\r\nresult\rX0\r\n\r\n")},
    {"a length line that ends in a bare CR",
     chunked("6\rXresult\r\n0\r\n\r\n")},
    {"no chunk length", chunked("\r\nresult\r\n0\r\n\r\n")},
    {"a chunk length that is no number", chunked("x\r\nresult\r\n0\r\n\r\n")},
    {"a negative chunk length", chunked("-6\r\nresult\r\n0\r\n\r\n")},
    {"a chunk length with a prefix", chunked("0x6\r\nresult\r\n0\r\n\r\n")},
    {"a chunk length above 64 bits",
     chunked("fffffffffffffffff\r\nresult\r\n0\r\n\r\n")},
    {"a bare LF in a chunk extension",
     chunked("6;a\nb\r\nresult\r\n0\r\n\r\n")},
    {"a trailer line without a colon",
     chunked("6\r\nresult\r\n0\r\nbad\r\n\r\n")},
    {"a status line in a trailer",
     chunked("6\r\nresult\r\n0\r\nHTTP/1.1 404 Gone: 1\r\n\r\n")},
    {"a status line before a field in a trailer",
     chunked("6\r\nresult\r\n0\r\nHTTP/1.1 404 Gone: 1\r\nX-Own: 2\r\n\r\n")},
    {"a blank in the name of a trailer field",
     chunked("6\r\nresult\r\n0\r\nX Y: b\r\n\r\n")},
    {"a control byte in a trailer field",
     chunked("6\r\nresult\r\n0\r\nX: \x01\r\n\r\n")},
    {"a trailer that ends in a bare CR", chunked("6\r\nresult\r\n0\r\n\rX")}};

// libcurl leaves such text out, without a change to the body.
inline const response_case BrokenChunkExtensions[] = {
    {"text behind a chunk length", chunked("6 x\r\nresult\r\n0\r\n\r\n")},
    {"a control byte in a chunk extension",
     chunked("6;a=\x01\r\nresult\r\n0\r\n\r\n")}};

inline const response_case ValidResponses[] = {
    {"no reason", withStatusLine("HTTP/1.1 200 ")},
    {"no reason and no blank", withStatusLine("HTTP/1.1 200")},
    {"a reason in another script", withStatusLine("HTTP/1.1 200 \xc3\xa9\t!")},
    {"an unassigned status", withStatusLine("HTTP/1.1 299 Odd")},
    {"the highest status", withStatusLine("HTTP/1.1 599 Odd")},
    {"version 1.0", withStatusLine("HTTP/1.0 200 OK")},
    {"a single LF behind each line", "HTTP/1.1 200 OK\nBw-Request-Id: r1\n"
                                     "Content-Length: 6\n\nresult"},
    {"an empty value", withLines("X:\r\nY: \t \r\n")},
    {"a value in another script", withLines("X: \xc3\xa9\xff\r\n")},
    {"tabs and blanks around a value", withLines("X:\t b c\t \r\n")},
    {"every character of a name", withLines("!#$%&'*+-.^_`|~0aZ: b\r\n")},
    {"interim responses", "HTTP/1.1 100 Continue\r\n\r\n"
                          "HTTP/1.1 103 Early Hints\r\nX: b\r\n\r\n" +
                              withLines("")},
    {"an interim response with a length",
     "HTTP/1.1 103 Early Hints\r\nContent-Length: 6\r\n\r\n" + withLines("")},
    {"chunks", chunked("3\r\nres\r\n3\r\nult\r\n0\r\n\r\n")},
    {"chunk extensions and a trailer",
     chunked("006;a=\"b;c\" ;d\r\nresult\r\n0 ;e\r\nX-T: \xff\r\n\r\n")},
    {"a coding in capitals",
     framed("transfer-encoding: Chunked\r\n", "6\r\nresult\r\n0\r\n\r\n")}};

} // namespace bw

#endif
