#include "bw_operations/fuzz/decoder_checks.h"

#include "bw_operations/audit/audit_line.h"
#include "bw_operations/credentials/credential_check.h"
#include "bw_operations/rpc/operator_rpc.h"
#include "bw_platform/objects/memory_object_store.h"
#include "bw_schema/errors/declaration_error.h"
#include "bw_schema/json/json_codec.h"

#include <cstdlib>

using namespace bw;

namespace {

void require(bool Condition) {
  if (!Condition)
    std::abort();
}

} // namespace

void bw::checkAuditLineDecoder(std::string_view Input) {
  schema::audit_entry Entry;
  try {
    Entry = parseAuditLine(std::string(Input), "f", 1);
  } catch (const declaration_error &Error) {
    require(!Error.faults().empty());
    return;
  }
  const std::string Line = formatAuditLine(Entry);
  require(formatAuditLine(parseAuditLine(Line, "f", 1)) == Line);
}

void bw::checkCredentialDecoder(std::string_view Input) {
  static const new_credential Known = makeCredential("ann");
  static const credential_check Check({Known.Stored});
  const credential_result Result = Check.check(std::string(Input));
  require(Result.Outcome != credential_outcome::Valid);
}

void bw::checkRpcDecoder(std::string_view Input) {
  const std::size_t End = std::min(Input.find('\n'), Input.size());
  const std::string Path(Input.substr(0, End));
  const std::string Body(Input.substr(std::min(End + 1, Input.size())));
  memory_object_store Memory;
  const operator_rpc Rpc(
      {.Configuration = {.Store = Memory.hooks()}, .Audit = Memory.hooks()});
  const rpc_reply Reply = Rpc.call(Path, Body, operator_id("ann"));
  if (Reply.Status == 200)
    return;
  require(Memory.objects().empty());
  schema::call_error Error;
  parseJson(Reply.Body, "", Error);
  require(!Error.code().empty());
}
