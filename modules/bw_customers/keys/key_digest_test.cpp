#include "bw_customers/keys/key_digest.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <unordered_set>

using namespace bw;

namespace {

struct digest_case {
  const char *Failure;
  const char *Key;
  const char *Hexadecimal;
};

// The first two are the examples of FIPS 180-4.
const digest_case DigestCases[] = {
    {"text of one block has another digest", "abc",
     "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"},
    {"text of two blocks has another digest",
     "abcdbcdecdefdefgefghfghighijhijkijkljklmklmnlmnomnopnopq",
     "248d6a61d20638b8e5c026930c3e6039a33ce45964ff2167f6ecedd419db06c1"},
    {"empty text has another digest", "",
     "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"},
};

std::string hexadecimal(const key_digest &Digest) {
  static constexpr const char *Digits = "0123456789abcdef";
  std::string Result;
  for (const char Each : Digest.view()) {
    const auto Byte = static_cast<unsigned char>(Each);
    Result += Digits[Byte >> 4U];
    Result += Digits[Byte & 0xfU];
  }
  return Result;
}

} // namespace

class key_digest_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(key_digest_test);
  CPPUNIT_TEST(digestsAreSha256);
  CPPUNIT_TEST(digestsAreReadFromTheirBytes);
  CPPUNIT_TEST(similarKeysDiffer);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against hosts of different versions that compute different digests
  // of the same key.
  void digestsAreSha256() {
    for (const digest_case &Case : DigestCases)
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Failure, std::string(Case.Hexadecimal),
                                   hexadecimal(key_digest::of(Case.Key)));
  }

  // Guards against reading past the end of a digest that another host sent.
  void digestsAreReadFromTheirBytes() {
    const key_digest Digest = key_digest::of("key");
    CPPUNIT_ASSERT(key_digest::fromBytes(Digest.view()) == Digest);
    for (const std::size_t Size : {0, 1, 31, 33, 64})
      CPPUNIT_ASSERT(!key_digest::fromBytes(std::string(Size, 'x')));
  }

  // Guards against keys that are taken for each other.
  void similarKeysDiffer() {
    std::unordered_set<key_digest> Seen;
    for (const char *Each : {"key", "Key", "key ", " key", "key\n", "ke"})
      CPPUNIT_ASSERT_MESSAGE(Each, Seen.insert(key_digest::of(Each)).second);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(key_digest_test);
