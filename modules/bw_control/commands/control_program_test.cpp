#include "bw_control/commands/control_program.h"

#include "bw_operations/audit/audit_line.h"
#include "bw_operations/audit/audit_store.h"
#include "bw_operations/rpc/operator_rpc.h"
#include "bw_platform/objects/memory_object_store.h"

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace bw;
namespace fs = std::filesystem;

namespace {

const std::string Services = R"(services:
- name: diary-svc
  floor: 0.8
  slots: 6
  detection: {false_ejection_rate: 0.1, missed_detection_rate: 0.01}
  limits: {queue: 16, max_deadline_ms: 60000}
)";
const std::string Routes = R"(routes:
- name: lookups
  path_prefix: /diary/lookups
  service: diary-svc
  kind: lookup
  repeatable: true
  deadline_ms: 2000
)";

} // namespace

class control_program_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(control_program_test);
  CPPUNIT_TEST(appliedDirectoryIsIdempotent);
  CPPUNIT_TEST(writtenConfigurationAppliesUnchanged);
  CPPUNIT_TEST(faultsNameFileLineAndField);
  CPPUNIT_TEST(exitCodesTellWhatHappened);
  CPPUNIT_TEST(usageFaultsReachNoDaemon);
  CPPUNIT_TEST(newCredentialFitsItsDeclaration);
  CPPUNIT_TEST(credentialFileIsChecked);
  CPPUNIT_TEST(auditIsExportedAndReplayed);
  CPPUNIT_TEST(explainsARequestFromLogs);
  CPPUNIT_TEST(showsADaemonsMetrics);
  CPPUNIT_TEST(everyCommandIsCompleted);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    std::string Name = (fs::temp_directory_path() / "bwctl-XXXXXX").string();
    CPPUNIT_ASSERT(mkdtemp(Name.data()) != nullptr);
    Folder = Name;
    Memory = std::make_unique<memory_object_store>();
    Rpc = std::make_unique<operator_rpc>(operator_rpc_options{
        .Configuration = {.Store = Memory->hooks()}, .Audit = Memory->hooks()});
    Failure.reset();
    SentCount = 0;
  }
  void tearDown() override { fs::remove_all(Folder); }

  // Guards against an engineer who finds nothing where there is something, and
  // who is not told what could not be read.
  void explainsARequestFromLogs() {
    write("h1.log",
          "2026-08-08T15:12:15.100Z host=h1 BW1104 attempt_started request=r1 "
          "server=s1\nno log line\n"
          "2026-08-08T15:12:15.300Z host=h1 BW1106 request_answered request=r1 "
          "server=s1 status=200 age_ms=200\n");
    const std::string Log = (Folder / "h1.log").string();
    CPPUNIT_ASSERT_EQUAL(0, runWithoutEndpoint({"explain", "r1", Log}));
    CPPUNIT_ASSERT(Out.str().find("status 200 of server s1") !=
                   std::string::npos);
    CPPUNIT_ASSERT(Error.str().find("h1.log:2: not a log line") !=
                   std::string::npos);
    CPPUNIT_ASSERT_EQUAL(
        0, runWithoutEndpoint({"explain", "r1", Log, "-o", "json"}));
    CPPUNIT_ASSERT(Out.str().starts_with("{"));
    CPPUNIT_ASSERT_EQUAL(2, runWithoutEndpoint({"explain", "r9", Log}));
    CPPUNIT_ASSERT_EQUAL(
        2, runWithoutEndpoint({"explain", "r1", Log + ".absent"}));
  }

  void showsADaemonsMetrics() {
    Failure = call_result{};
    Failure->Transfer.Status = transfer_status::Complete;
    Failure->Response.Status = 200;
    Failure->Response.Body =
        "bramleywinch_requests_total{service=\"diary\",outcome=\"served\"} "
        "12\nnonsense\n";
    CPPUNIT_ASSERT_EQUAL(0, run({"top"}));
    CPPUNIT_ASSERT(Out.str().find("diary") != std::string::npos &&
                   Out.str().find("12") != std::string::npos);
    CPPUNIT_ASSERT(Error.str().find("line 2") != std::string::npos);
    Failure = call_result{};
    CPPUNIT_ASSERT_EQUAL(5, run({"top"}));
    CPPUNIT_ASSERT_EQUAL(1, runWithoutEndpoint({"top"}));
  }

  void appliedDirectoryIsIdempotent() {
    write("a.yaml", Services);
    write("b.yml", Routes);
    write("notes.txt", "no declaration");
    CPPUNIT_ASSERT_EQUAL(0, run({"apply", "-f", Folder.string()}));
    CPPUNIT_ASSERT_EQUAL(
        std::string("added service diary-svc\nadded route lookups\n"
                    "version 1\n"),
        Out.str());
    CPPUNIT_ASSERT_EQUAL(0, run({"apply", "-f", Folder.string()}));
    CPPUNIT_ASSERT_EQUAL(std::string("no changes\nversion 1\n"), Out.str());
    fs::remove(Folder / "b.yml");
    CPPUNIT_ASSERT_EQUAL(0, run({"diff", "-f", Folder.string(), "--prune"}));
    CPPUNIT_ASSERT_EQUAL(
        std::string("removed route lookups\ncompared with version 1\n"),
        Out.str());
    CPPUNIT_ASSERT_EQUAL(0, run({"apply", "--prune", "-f", Folder.string()}));
    CPPUNIT_ASSERT_EQUAL(std::string("removed route lookups\nversion 2\n"),
                         Out.str());
  }

  void writtenConfigurationAppliesUnchanged() {
    write("a.yaml", Services + Routes);
    run({"apply", "-f", path("a.yaml")});
    run({"get", "-o", "yaml"});
    write("got.yaml", Out.str());
    CPPUNIT_ASSERT_EQUAL(0, run({"apply", "--prune", "-f", path("got.yaml")}));
    CPPUNIT_ASSERT_EQUAL(std::string("no changes\nversion 1\n"), Out.str());
    // The version in the file is the one that the change expects.
    write("a.yaml", Services + Routes + "version: 7\n");
    CPPUNIT_ASSERT_EQUAL(3, run({"apply", "-f", path("a.yaml")}));
  }

  // Guards against faults that an operator has to search for. The second kind
  // is found by the daemon, which does not know the files.
  void faultsNameFileLineAndField() {
    write("a.yaml", Services);
    write("b.yaml", "# comment\n" + Routes + "  odd: 1\n");
    CPPUNIT_ASSERT_EQUAL(2, run({"apply", "-f", Folder.string()}));
    CPPUNIT_ASSERT_EQUAL(path("b.yaml") +
                             ":9: routes[0].odd: is not a known field\n",
                         Error.str());
    CPPUNIT_ASSERT_EQUAL(0, SentCount);
    write("b.yaml",
          "# comment\n" + Routes + "- name: second\n" + "  service: x\n");
    for (const char *Command : {"apply", "validate", "diff"}) {
      CPPUNIT_ASSERT_EQUAL(2, run({Command, "-f", Folder.string()}));
      CPPUNIT_ASSERT_MESSAGE(
          Error.str(),
          Error.str().find(path("b.yaml") +
                           ":10: routes[1].service: there is no service 'x'") !=
              std::string::npos);
    }
    CPPUNIT_ASSERT(Memory->objects().empty());
  }

  void exitCodesTellWhatHappened() {
    struct fault_case {
      const char *Fault;
      std::optional<call_result> Result;
      int ApplyExit;
      int GetExit;
    };
    const auto Answered = [](int Status, const std::string &Body) {
      call_result Result;
      Result.Transfer = {.Status = transfer_status::Complete, .WasSent = true};
      Result.Response.Status = Status;
      Result.Response.Body = Body;
      return Result;
    };
    const auto Broken = [](transfer_status Status, bool WasSent) {
      call_result Result;
      Result.Transfer = {.Status = Status, .WasSent = WasSent};
      return Result;
    };
    const fault_case Cases[] = {
        {"no connection", Broken(transfer_status::ConnectFailed, false), 5, 5},
        {"answer lost", Broken(transfer_status::Broken, true), 4, 5},
        {"silence", Broken(transfer_status::TimedOut, true), 4, 5},
        {"an answer that is none", Answered(200, "<html>"), 4, 5},
        {"an answer cut", Answered(200, "{\"version\":"), 4, 5},
        {"credential refused", Answered(401, ""), 6, 6},
        {"not allowed",
         Answered(403, R"({"code":"x","refused":{"reason":"y"}})"), 6, 6},
        {"too large", Answered(413, "too large"), 6, 6},
        {"conflict",
         Answered(409, R"({"code":"x","conflict":{"winner_version":"3"}})"), 3,
         3},
        {"invalid", Answered(422, R"({"code":"x","invalid":{"faults":[{}]}})"),
         2, 2},
        {"platform away", Answered(503, R"({"code":"x","unavailable":{}})"), 5,
         5},
        {"unknown", Answered(504, R"({"code":"x","unknown":{}})"), 4, 4},
        {"gateway error", Answered(502, "bad gateway"), 4, 5},
        {"internal error", Answered(500, R"({"code":"x"})"), 4, 5},
    };
    write("a.yaml", Services);
    for (const fault_case &Case : Cases) {
      Failure = Case.Result;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Fault, Case.ApplyExit,
                                   run({"apply", "--expect", "0", "--change-id",
                                        "c1", "-f", path("a.yaml")}));
      if (Case.ApplyExit == 4)
        CPPUNIT_ASSERT_MESSAGE(
            Error.str(), Error.str().find("bwctl status --change-id c1") !=
                             std::string::npos);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Fault, Case.GetExit, run({"get"}));
      CPPUNIT_ASSERT(Out.str().empty());
      CPPUNIT_ASSERT(!Error.str().empty());
    }
  }

  void usageFaultsReachNoDaemon() {
    const std::vector<std::string> Cases[] = {
        {},
        {"odd"},
        {"apply"},
        {"apply", "--odd", "-f", "x"},
        {"apply", "-f", "x", "--expect", "-1"},
        {"apply", "-f", "x", "--expect", "one"},
        {"get", "-o", "xml"},
        {"drain"},
        {"drain", "a", "b"},
        {"audit"},
        {"audit", "odd"},
        {"audit", "replay"},
        {"audit", "replay", "-f", "x", "--platform", "y"},
        {"credential", "new"},
        {"credential", "new", "A.B"},
        {"credential", "new", std::string(100'000, 'a')},
        {"completion", "zsh"},
        {"report"},
    };
    for (const std::vector<std::string> &Case : Cases) {
      CPPUNIT_ASSERT_EQUAL(1, run(Case));
      CPPUNIT_ASSERT(!Error.str().empty());
    }
    CPPUNIT_ASSERT_EQUAL(1, runWithoutEndpoint({"get"}));
    CPPUNIT_ASSERT_EQUAL(0, runWithoutEndpoint({"--help"}));
    CPPUNIT_ASSERT_EQUAL(2, run({"apply", "-f", path("absent")}));
    fs::create_directory(Folder / "empty");
    CPPUNIT_ASSERT_EQUAL(2, run({"validate", "-f", path("empty")}));
    CPPUNIT_ASSERT_EQUAL(0, SentCount);
  }

  void newCredentialFitsItsDeclaration() {
    CPPUNIT_ASSERT_EQUAL(0, runWithoutEndpoint({"credential", "new", "ann"}));
    CPPUNIT_ASSERT(Out.str().starts_with("# The credential, shown once: ann."));
    write("c.yaml", Out.str());
    CPPUNIT_ASSERT_EQUAL(0, run({"validate", "-f", path("c.yaml")}));
    runWithoutEndpoint({"credential", "new", "ann", "-o", "json"});
    CPPUNIT_ASSERT(Out.str().starts_with("{"));
    CPPUNIT_ASSERT(Error.str().starts_with("# The credential"));
  }

  // Guards against a secret that others can read, and one in an error text.
  void credentialFileIsChecked() {
    const std::string Secret = std::string(64, '5');
    write("good", "ann." + Secret + "\n");
    write("bad", "ann " + Secret + "\n");
    fs::permissions(path("good"), fs::perms::owner_read);
    fs::permissions(path("bad"), fs::perms::owner_read);
    CPPUNIT_ASSERT_EQUAL(0, run({"get", "--credential-file", path("good")}));
    CPPUNIT_ASSERT_EQUAL("Bearer ann." + Secret, LastAuthorization);
    CPPUNIT_ASSERT_EQUAL(1, run({"get", "--credential-file", path("bad")}));
    CPPUNIT_ASSERT_EQUAL(std::string::npos, Error.str().find(Secret));
    fs::permissions(path("good"), fs::perms::group_read, fs::perm_options::add);
    CPPUNIT_ASSERT_EQUAL(1, run({"get", "--credential-file", path("good")}));
    CPPUNIT_ASSERT_EQUAL(1, run({"get", "--credential-file", path("absent")}));
  }

  void auditIsExportedAndReplayed() {
    const audit_store Store(Memory->hooks());
    for (std::uint64_t Sequence = 1; Sequence <= 150; ++Sequence) {
      schema::audit_segment Segment;
      Segment.set_collector("h1");
      Segment.set_number(Sequence);
      schema::audit_entry &Entry = *Segment.add_entries();
      Entry.set_host("h1");
      Entry.set_sequence(Sequence);
      Entry.set_event(schema::audit_entry::fetched);
      Entry.set_order("o1");
      Entry.set_record("R1");
      Store.write(Segment);
    }
    CPPUNIT_ASSERT_EQUAL(0, run({"audit", "export"}));
    std::string Export = Out.str();
    CPPUNIT_ASSERT_EQUAL(std::size_t(150),
                         parseAuditLines(Export, "export").size());
    write("export", Export);
    CPPUNIT_ASSERT_EQUAL(0, run({"audit", "replay", "-f", path("export")}));
    CPPUNIT_ASSERT(Out.str().find("fetched 150 times") != std::string::npos);
    Export.erase(0, Export.find('\n') + 1);
    write("export", Export);
    CPPUNIT_ASSERT_EQUAL(2, run({"audit", "replay", "-f", path("export")}));
    CPPUNIT_ASSERT(Error.str().find("sequence 1 to 1") != std::string::npos);
    write("export", "odd\n");
    CPPUNIT_ASSERT_EQUAL(2, run({"audit", "replay", "-f", path("export")}));
  }

  void everyCommandIsCompleted() {
    runWithoutEndpoint({"completion", "bash"});
    for (const char *Command :
         {"apply", "diff", "get", "validate", "status", "drain", "audit",
          "report", "credential", "completion", "export", "replay", "burn",
          "explain", "top"})
      CPPUNIT_ASSERT_MESSAGE(Command,
                             Out.str().find(Command) != std::string::npos);
  }

private:
  std::string path(const std::string &Name) const {
    return (Folder / Name).string();
  }

  void write(const std::string &Name, const std::string &Text) const {
    std::ofstream(Folder / Name) << Text;
  }

  int run(std::vector<std::string> Arguments) {
    Arguments.insert(Arguments.begin(), {"--endpoint", "http://d"});
    return runWithoutEndpoint(std::move(Arguments));
  }

  int runWithoutEndpoint(std::vector<std::string> Arguments) {
    Out.str("");
    Error.str("");
    const control_program Program(
        {.Out = Out,
         .Error = Error,
         .Send = [this](const client_request &Request) {
           return send(Request);
         }});
    return static_cast<int>(Program.run(std::move(Arguments)));
  }

  call_result send(const client_request &Request) {
    ++SentCount;
    LastAuthorization =
        Request.Headers.find("Authorization").value_or("(none)");
    if (Failure)
      return *Failure;
    const std::string Path = Request.Url.substr(std::string("http://d").size());
    const rpc_reply Reply = Rpc->call(Path, Request.Body, operator_id("ann"));
    call_result Result;
    Result.Transfer = {.Status = transfer_status::Complete, .WasSent = true};
    Result.Response.Status = Reply.Status;
    Result.Response.Body = Reply.Body;
    return Result;
  }

  fs::path Folder;
  std::unique_ptr<memory_object_store> Memory;
  std::unique_ptr<operator_rpc> Rpc;
  std::optional<call_result> Failure;
  std::string LastAuthorization;
  int SentCount = 0;
  std::ostringstream Out;
  std::ostringstream Error;
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_program_test);
