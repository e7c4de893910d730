#include "bw_forward/servers/answer_judgement.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bw;

namespace {

struct judgement_case {
  const char *Failure;
  int Status;
  http_headers Headers;
  answer_judgement Expected;
};

const std::vector<judgement_case> &cases() {
  static const std::vector<judgement_case> Cases = {
      {"a valid response is rejected",
       200,
       {{"Bw-Request-Id", "mine"}, {"Proof", "p"}},
       answer_judgement::Usable},
      {"a late response to another request is relayed",
       200,
       {{"Bw-Request-Id", "other"}, {"Proof", "p"}},
       answer_judgement::OtherRequest},
      {"a response without a request label is relayed",
       200,
       {{"Proof", "p"}},
       answer_judgement::Unusable},
      {"a success without the server's signature is relayed",
       200,
       {{"Bw-Request-Id", "mine"}},
       answer_judgement::Unusable},
      {"an encoded body is relayed",
       200,
       {{"Bw-Request-Id", "mine"},
        {"Proof", "p"},
        {"Content-Encoding", "gzip"}},
       answer_judgement::Unusable},
      {"a declined request counts as executed",
       503,
       {{"Bw-Request-Id", "mine"}, {"Bw-Not-Run", "1"}},
       answer_judgement::NotExecuted},
      {"a misdirected request counts as executed",
       421,
       {},
       answer_judgement::NotExecuted},
      {"a decline of another request allows a second execution of this one",
       503,
       {{"Bw-Request-Id", "other"}, {"Bw-Not-Run", "1"}},
       answer_judgement::OtherRequest},
      {"a 503 without the not-executed field is relayed",
       503,
       {{"Bw-Request-Id", "mine"}},
       answer_judgement::Unusable},
      {"an error of the server is not relayed",
       500,
       {{"Bw-Request-Id", "mine"}},
       answer_judgement::Usable},
      {"a 404 of the server is not relayed",
       404,
       {{"Bw-Request-Id", "mine"}},
       answer_judgement::Usable},
  };
  return Cases;
}

} // namespace

class answer_judgement_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(answer_judgement_test);
  CPPUNIT_TEST(tellsWhatMayBeHandedOn);
  CPPUNIT_TEST_SUITE_END();

public:
  void tellsWhatMayBeHandedOn() {
    const relay_headers Names{.Signature = "Proof"};
    for (const judgement_case &Case : cases()) {
      const http1_head Head{.Status = Case.Status, .Headers = Case.Headers};
      CPPUNIT_ASSERT_MESSAGE(Case.Failure,
                             judgeAnswer(Head, "mine", Names) == Case.Expected);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(answer_judgement_test);
