#include "bw_forward/servers/answer_judgement.h"

using namespace bw;

bool bw::promisesNotRun(int Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

answer_judgement bw::judgeAnswer(const http1_head &Head, std::string_view Label,
                                 const relay_headers &Names) {
  constexpr int Misdirected = 421;
  const std::optional<std::string> Echo = Head.Headers.find(Names.RequestLabel);
  if (Echo && *Echo != Label)
    return answer_judgement::OtherRequest;
  if (Head.Headers.find(Names.NotExecuted) || Head.Status == Misdirected)
    return answer_judgement::NotExecuted;
  // Without an echo it may be the late answer to an earlier request.
  if (!Echo && !Label.empty())
    return answer_judgement::Unusable;
  // Callers take these as a promise that the server did not make.
  if (promisesNotRun(Head.Status))
    return answer_judgement::Unusable;
  const bool IsSuccess = Head.Status >= 200 && Head.Status < 300;
  // Callers ask for unencoded bodies, so an encoded one is not the server's.
  if (Head.Headers.find("Content-Encoding"))
    return answer_judgement::Unusable;
  if (IsSuccess && !Names.Signature.empty() &&
      !Head.Headers.find(Names.Signature))
    return answer_judgement::Unusable;
  return answer_judgement::Usable;
}
