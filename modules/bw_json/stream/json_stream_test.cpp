#include "bw_json/stream/json_stream.h"

#include "bw_core/random/random_source.h"
#include "bw_testing/memory/allocation_peak.h"
#include "bw_testing/runner/test_seed.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace bw;
using nlohmann::json;

namespace {

// A list of entries with a name, two other used members and a list of parts.
json_shape listShape() {
  return {
      .Members = {{.Name = "more"},
                  {.Name = "items",
                   .Elements = {{.Members = {{.Name = "id", .IsName = true},
                                             {.Name = "a",
                                              .Members = {{.Name = "b"},
                                                          {.Name = "c",
                                                           .Elements = {{}}}}},
                                             {.Name = "parts",
                                              .Elements = {{}},
                                              .IsStreamed = true}},
                                 .ElementLimit = byte_count(200)}},
                   .IsStreamed = true}}};
}

struct read_document {
  std::optional<std::string> Rest;
  /// List, index, end, text and name of each element.
  std::vector<std::string> Elements;

  friend bool operator==(const read_document &,
                         const read_document &) = default;
};

read_document readInParts(const std::string &Text, std::size_t PartSize) {
  static constexpr const char *Ends[] = {"usable", "malformed", "too long"};
  read_document Result;
  json_stream Stream(
      {.Shape = listShape(), .OnElement = [&](const json_element &Element) {
         Result.Elements.push_back(
             std::string(Element.List) + " " + std::to_string(Element.Index) +
             " " + Ends[std::size_t(Element.End)] + " " +
             std::string(Element.Text) + " " + std::string(Element.Name));
       }});
  for (std::size_t At = 0; At < Text.size(); At += PartSize)
    Stream.write(std::string_view(Text).substr(At, PartSize));
  Result.Rest = Stream.finish();
  return Result;
}

std::string itemsOf(const std::string &Items) {
  return R"({"other":[1],"items":[)" + Items + R"(],"more":true})";
}

std::string repeated(const std::string &Part, int Count) {
  std::string Result;
  while (Count-- > 0)
    Result += Part;
  return Result;
}

struct element_case {
  const char *Failure;
  std::string Item;
  /// What is delivered, without the list and the index.
  std::string Expected;
};

const std::string Long(2000, 'x');

const element_case ElementCases[] = {
    {"a used member is lost",
     R"({"x":[{"id":"n"}],"id":"i","a":{"z":1,"b":-1.5e3,"c":[1,"t"]}})",
     R"(usable {"id":"i","a":{"b":-1.5e3,"c":[1,"t"]}} "i")"},
    {"members of another level are used", R"({"a":{"id":"x","a":{"b":1}}})",
     R"(usable {"a":{}} )"},
    {"another type is taken for the expected one",
     R"({"id":{"id":"x"},"a":[1,{"b":2}]})", R"(usable {"id":{},"a":[]} )"},
    {"a single value is no element", "7", "usable 7 "},
    {"a list is no element", R"([1,[2],{"id":"x"}])", "usable [] "},
    {"white space changes an element", " { \"id\" :\t\"i\" , \"a\" : null\n} ",
     R"(usable {"id":"i","a":null} "i")"},
    {"escapes end a text", R"({"id":"a\"]},\\","a":{"b":"\u00e9\"}"}})",
     R"(usable {"id":"a\"]},\\","a":{"b":"\u00e9\"}"}} "a\"]},\\")"},
    {"bytes that are not UTF-8 are used", "{\"id\":\"i\",\"x\":\"\xff\"}",
     R"(malformed  "i")"},
    {"an overlong form is used", "{\"x\":\"\xc0\x80\",\"id\":\"i\"}",
     R"(malformed  "i")"},
    {"a control character is used", "{\"id\":\"i\",\"x\":\"\x01\"}",
     R"(malformed  "i")"},
    {"a word that is none is used", R"({"id":"i","x":nan})",
     R"(malformed  "i")"},
    {"a number that is none is used", R"({"id":"i","x":01})",
     R"(malformed  "i")"},
    {"a missing comma is not noticed", R"({"id":"i" "a":{"b":1}})",
     R"(malformed  "i")"},
    {"a trailing comma is not noticed", R"({"id":"i",})", R"(malformed  "i")"},
    {"a missing colon is not noticed", R"({"id":"i","a" 1})",
     R"(malformed  "i")"},
    {"an unknown escape is used", R"({"id":"i","x":"\q"})",
     R"(malformed  "i")"},
    {"brackets of two kinds match", R"({"id":"i","x":[1}})",
     "malformed  \"i\""},
    {"a name that cannot be read is used", "{\"id\":\"\xff\"}",
     "malformed  \"\xff\""},
    {"the used parts grow without bound",
     R"({"a":{"b":")" + Long + R"("},"id":"i"})", R"(too long  "i")"},
    {"a list of used parts grows without bound",
     R"({"id":"i","a":{"c":[)" + repeated("1,", 200) + "1]}}",
     R"(too long  "i")"},
    {"a name grows without bound", R"({"id":")" + Long + R"("})",
     "too long  \"" + Long.substr(0, json_stream::MaxName) +
         "\xF4\x8F\xBF\xBF\""},
    {"a name is cut in a character",
     R"({"id":")" + repeated("\\u00e9", 400) + R"("})",
     "too long  \"" + repeated("\\u00e9", json_stream::MaxName / 6) +
         "\xF4\x8F\xBF\xBF\""},
    {"a deep element ends the process or the list",
     R"({"id":"i","x":)" + repeated("[", 100'000) + repeated("]", 100'000) +
         "}",
     R"(malformed  "i")"},
    {"two lists of a name are joined", R"({"id":"i","parts":[],"parts":[]})",
     R"(malformed  "i")"},
};

} // namespace

class json_stream_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(json_stream_test);
  CPPUNIT_TEST(deliversElements);
  CPPUNIT_TEST(deliversInnerElementsFirst);
  CPPUNIT_TEST(refusesDocumentsThatAreNotWhole);
  CPPUNIT_TEST(agreesWithAParser);
  CPPUNIT_TEST(holdsNothingOfWhatIsNotUsed);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against one element that hides the others, whatever the parts in
  // which the document arrives.
  void deliversElements() {
    for (const element_case &Case : ElementCases)
      for (const std::size_t PartSize : {1, 3, 7, 1'000'000}) {
        const auto Read = readInParts(
            itemsOf(R"({"id":"0"},)" + Case.Item + R"(,{"id":"2"})"), PartSize);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Failure, std::size_t(3),
                                     Read.Elements.size());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Failure, "items 1 " + Case.Expected,
                                     Read.Elements[1]);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Failure,
                                     std::string(R"(items 2 usable {"id":"2"} )"
                                                 R"("2")"),
                                     Read.Elements[2]);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Failure,
                                     std::string(R"({"items":[],"more":true})"),
                                     Read.Rest.value_or("none"));
      }
  }

  void deliversInnerElementsFirst() {
    const auto Read = readInParts(
        itemsOf(R"({"parts":[1,"p",[2]],"id":"i"},{"parts":[nan,0]})"), 5);
    const std::vector<std::string> Expected = {
        "parts 0 usable 1 ",   "parts 1 usable \"p\" ",
        "parts 2 usable [] ",  R"(items 0 usable {"parts":[],"id":"i"} "i")",
        "parts 0 malformed  ", "parts 1 usable 0 ",
        "items 1 malformed  "};
    CPPUNIT_ASSERT(Read.Elements == Expected);
  }

  // Guards against a list without its end that is taken for whole.
  void refusesDocumentsThatAreNotWhole() {
    const std::string Whole = itemsOf(R"({"id":"a"},{"id":"b"})");
    CPPUNIT_ASSERT(readInParts(Whole, 4).Rest);
    for (std::size_t Size = 0; Size < Whole.size(); ++Size)
      CPPUNIT_ASSERT(!readInParts(Whole.substr(0, Size), 4).Rest);
    for (const char *Text :
         {"{}}", "{} 1", R"({"more":tru})", R"({"more":1,})", "{]",
          R"({"items":[},"more":1})", R"({"items":[],"items":[]})"})
      CPPUNIT_ASSERT_MESSAGE(Text, !readInParts(Text, 4).Rest);
    const std::string Huge = R"({"more":")" + std::string(10'000, 'x') + "\"}";
    CPPUNIT_ASSERT(!readInParts(Huge, 1000).Rest);
  }

  // Guards against differences from the parser that reads the used parts:
  // random documents and their seeded changes are valid for both or neither.
  void agreesWithAParser() {
    random_source Random(testSeed());
    constexpr std::string_view Bytes("\"{}[],:\\ 0e-.tn\xc3\xa9\n", 18);
    for (int Round = 0; Round < 3000; ++Round) {
      std::string Item = R"({"id":"i","x":)" + randomValue(Random, 4) + "}";
      for (std::uint64_t Count = Random.below(3); Count > 0; --Count)
        Item[Random.below(Item.size())] = Bytes[Random.below(Bytes.size())];
      const std::string Text = itemsOf(Item);
      const auto Read = readInParts(Text, 1 + Random.below(20));
      CPPUNIT_ASSERT(Read == readInParts(Text, Text.size()));
      const json Whole = json::parse(Text, nullptr, false);
      const bool IsUsable =
          Read.Rest &&
          std::none_of(Read.Elements.begin(), Read.Elements.end(),
                       [](const std::string &Each) {
                         return Each.find("malformed") != Each.npos;
                       });
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Text, !Whole.is_discarded(), IsUsable);
    }
  }

  // Guards against memory that grows with what other writers put beside the
  // used members.
  void holdsNothingOfWhatIsNotUsed() {
    constexpr std::size_t Size = 1'000'000;
    const std::string Values[] = {
        repeated("[", Size / 2) + repeated("]", Size / 2),
        "[" + repeated("{},", Size / 3) + "0]",
        "[" + repeated("\"a\",", Size / 4) + "0]",
        "\"" + std::string(Size, 'a') + "\"",
        "{" + repeated("\"k\":0,", Size / 6) + "\"k\":0}",
        std::string(Size, '1')};
    for (const std::string &Value : Values) {
      std::string Item = R"({"id":"i","x":)";
      Item.append(Value).append(R"(,"a":)").append(Value).append("}");
      const std::string Text = itemsOf(Item);
      const allocation_peak Peak;
      CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                           readInParts(Text, 65'536).Elements.size());
      CPPUNIT_ASSERT(Peak.value() < kibibytes(32));
    }
  }

private:
  static std::string randomValue(random_source &Random, int Depth) {
    static constexpr const char *Scalars[] = {
        "0",    "-1.5e+3",        "true",         "null",
        "\"\"", R"("a\u00e9\\")", "\"\xc3\xa9\"", "12"};
    const std::uint64_t Kind = Random.below(Depth > 0 ? 4 : 2);
    if (Kind < 2)
      return Scalars[Random.below(std::size(Scalars))];
    std::string Result;
    for (std::uint64_t Count = Random.below(3); Count > 0; --Count) {
      Result += Kind == 2 ? "" : "\"k\":";
      Result += randomValue(Random, Depth - 1) + (Count > 1 ? ", " : "");
    }
    return Kind == 2 ? "[" + Result + "]" : "{" + Result + "}";
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(json_stream_test);
