#include "bw_forward/servers/response_classification.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bw;

namespace {

struct classification_case {
  const char *Failure;
  int Status;
  http_headers Headers;
  response_class Expected;
};

const std::vector<classification_case> &cases() {
  static const std::vector<classification_case> Cases = {
      {"a valid response is rejected",
       200,
       {{"Bw-Request-Id", "mine"}, {"Proof", "p"}},
       response_class::Usable},
      {"a late response to another request is relayed",
       200,
       {{"Bw-Request-Id", "other"}, {"Proof", "p"}},
       response_class::OtherRequest},
      {"a response without a request label is relayed",
       200,
       {{"Proof", "p"}},
       response_class::Unusable},
      {"a success without the server's signature is relayed",
       200,
       {{"Bw-Request-Id", "mine"}},
       response_class::Unusable},
      {"an encoded body is relayed",
       200,
       {{"Bw-Request-Id", "mine"},
        {"Proof", "p"},
        {"Content-Encoding", "gzip"}},
       response_class::Unusable},
      {"a declined request counts as executed",
       503,
       {{"Bw-Request-Id", "mine"}, {"Bw-Not-Run", "1"}},
       response_class::NotExecuted},
      {"a misdirected request counts as executed",
       421,
       {},
       response_class::NotExecuted},
      {"a decline of another request allows a second execution of this one",
       503,
       {{"Bw-Request-Id", "other"}, {"Bw-Not-Run", "1"}},
       response_class::OtherRequest},
      {"a 503 without the not-executed field is relayed",
       503,
       {{"Bw-Request-Id", "mine"}},
       response_class::Unusable},
      {"an error of the server is not relayed",
       500,
       {{"Bw-Request-Id", "mine"}},
       response_class::Usable},
      {"a 404 of the server is not relayed",
       404,
       {{"Bw-Request-Id", "mine"}},
       response_class::Usable},
  };
  return Cases;
}

} // namespace

class response_classification_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(response_classification_test);
  CPPUNIT_TEST(classifiesResponses);
  CPPUNIT_TEST_SUITE_END();

public:
  void classifiesResponses() {
    const relay_headers Names{.Signature = "Proof"};
    for (const classification_case &Case : cases()) {
      const http1_head Head{.Status = Case.Status, .Headers = Case.Headers};
      CPPUNIT_ASSERT_MESSAGE(
          Case.Failure, classifyResponse(Head, "mine", Names) == Case.Expected);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(response_classification_test);
