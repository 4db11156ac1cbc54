#define BOOST_TEST_MODULE operations_tests
#include <boost/test/unit_test.hpp>

#include <azurecross_operations/azurecross_operations.h>

#include <rapidcheck.h>

namespace azurecross {

namespace {

const std::string kRandom = "0123456789abcdef0123456789abcdef";

} // namespace

// Guards against a key that changes its meaning between entries.
BOOST_AUTO_TEST_CASE(IssuedKeysSurviveTheirText)
{
  BOOST_TEST(rc::check("parse is the inverse of format", [] {
    const auto owner = *rc::gen::suchThat(
      rc::gen::arbitrary<std::string>(), [](const std::string& aText) {
        return !aText.empty() && aText.size() <= 48;
      });
    const OperationKeyCodec codec("a secret of 16 bytes");
    const OperationKey key =
      codec.Issue(EntryId(owner),
                  Incarnation(*rc::gen::arbitrary<std::uint64_t>()),
                  *rc::gen::arbitrary<std::int64_t>(),
                  kRandom);
    const ParsedKey parsed = ParseKey(key.Format());
    RC_ASSERT(parsed.kind_ == KeyKind::IssuedKey);
    RC_ASSERT(parsed.issuedKey_ == key);
    RC_ASSERT(codec.Verify(parsed.issuedKey_));
  }));
}

// Guards against a damaged or altered key that is accepted, for example as a
// caller's own key, which would allow a second run.
BOOST_AUTO_TEST_CASE(AnyChangedCharacterIsNoticed)
{
  const OperationKeyCodec codec("a secret of 16 bytes");
  const std::string text =
    codec.Issue(EntryId("entry-1"), Incarnation(7), 1'700'000'000'000, kRandom)
      .Format();
  for (std::size_t index = 0; index < text.size(); ++index) {
    for (const char replacement : { '0', 'f', '.', '-' }) {
      std::string changed = text;
      changed[index] = replacement;
      if (changed == text || !changed.starts_with("axop")) {
        continue;
      }
      const ParsedKey parsed = ParseKey(changed);
      BOOST_TEST((parsed.kind_ == KeyKind::Malformed ||
                  !codec.Verify(parsed.issuedKey_)));
    }
    const ParsedKey cut = ParseKey(text.substr(0, index));
    BOOST_TEST((cut.kind_ != KeyKind::IssuedKey));
  }
}

// Guards against keys with control characters or of unbounded length.
BOOST_AUTO_TEST_CASE(CallerKeysAreCheckedTexts)
{
  BOOST_CHECK(ParseKey("booking-17").kind_ == KeyKind::CallerKey);
  BOOST_CHECK(ParseKey("").kind_ == KeyKind::Malformed);
  BOOST_CHECK(ParseKey("a\nb").kind_ == KeyKind::Malformed);
  BOOST_CHECK(ParseKey(std::string(256, 'x')).kind_ == KeyKind::Malformed);
  BOOST_CHECK(ParseKey("axop2.future").kind_ == KeyKind::Malformed);
}

} // namespace azurecross
