#include <azurecross_store/azurecross_store.h>
#include <azurecross_store/etcd/EtcdCodec.h>
#include <azurecross_store/etcd/EtcdFields.h>
#include <azurecross_store/etcd/WatchStream.h>
#include <platform_standin/StandinCodec.h>

#include <boost/test/unit_test.hpp>

#include <rapidcheck.h>

namespace azurecross {

namespace {

template<typename Parser>
bool
Refuses(Parser aParser, const std::string& aText)
{
  const auto result = CaptureResult([&] { return aParser(aText); });
  return result.has_error() &&
         result.error().code_ == ErrorCode::StoreUnavailable &&
         !result.error().message_.empty();
}

KeyValue
PickKeyValue()
{
  return { *rc::gen::arbitrary<std::string>(),
           *rc::gen::arbitrary<std::string>(),
           *rc::gen::arbitrary<std::int64_t>(),
           *rc::gen::arbitrary<std::int64_t>(),
           *rc::gen::arbitrary<std::int64_t>() };
}

} // namespace

// Guards against bytes that are changed on the way to or from the store.
BOOST_AUTO_TEST_CASE(KeysAndValuesSurviveTheJsonForm)
{
  BOOST_TEST(rc::check("range answer", [] {
    RangeAnswer answer;
    answer.storeRevision_ = *rc::gen::arbitrary<std::int64_t>();
    answer.keyValues_ = { PickKeyValue(), PickKeyValue() };
    answer.hasMore_ = *rc::gen::arbitrary<bool>();
    const auto read = CaptureResult(
      [&] { return ParseRangeAnswer(SerializeRangeAnswer(answer)); });
    RC_ASSERT(read.has_value());
    RC_ASSERT(read->keyValues_ == answer.keyValues_);
    RC_ASSERT(read->storeRevision_ == answer.storeRevision_);
    RC_ASSERT(read->hasMore_ == answer.hasMore_);
  }));
}

// Guards against a request that the store reads in another way.
BOOST_AUTO_TEST_CASE(RequestsAreReadAsTheyWereMeant)
{
  Transaction transaction;
  transaction.compares_ = { { "k", CompareTarget::ModRevision, 5 },
                            { "k", CompareTarget::CreateRevision, 0 },
                            { "k", CompareTarget::Lease, 9 } };
  transaction.success_ = { PutRequest{ "k", "v", LeaseId(9) },
                           DeleteRequest{ "a", "b" } };
  transaction.failure_ = { RangeRequest{ "k", "l", 3, 0, true } };
  const std::string text = SerializeTransaction(transaction);
  const auto read = CaptureResult([&] { return ParseTransaction(text); });
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(SerializeTransaction(*read) == text);
  BOOST_TEST(read->compares_.size() == 3U);
  BOOST_TEST(std::get<RangeRequest>(read->failure_[0]).isDescending_);
}

// Guards against a crash or an unclear error on what a broken store sends.
BOOST_AUTO_TEST_CASE(MalformedAnswersAreRefusedClearly)
{
  BOOST_TEST(rc::check("random bytes", [](const std::string& aText) {
    RC_ASSERT(Refuses(ParseRangeAnswer, aText));
    RC_ASSERT(Refuses(ParseTransactionAnswer, aText));
    RC_ASSERT(Refuses(ParseLeaseGrantAnswer, aText));
    RC_ASSERT(Refuses(ParseLeaseKeepaliveAnswer, aText));
    RC_ASSERT(Refuses(ParseWatchMessage, aText));
    RC_ASSERT(!ParseEtcdError(503, aText).message_.empty());
  }));
  for (const char* text :
       { R"({})",
         R"([])",
         R"({"header":[]})",
         R"({"header":{"revision":true}})",
         R"({"header":{"revision":"99999999999999999999"}})",
         R"({"header":{},"kvs":{}})",
         R"({"header":{},"kvs":[1]})",
         R"({"header":{},"kvs":[{"key":"not base64!"}]})",
         R"({"header":{},"kvs":[{"key":"YQ"}]})",
         R"({"header":{},"kvs":[{"key":"YQ==","mod_revision":"x"}]})" }) {
    BOOST_TEST(Refuses(ParseRangeAnswer, text), text);
  }
  for (const char* text : { R"({"result":{"header":{},"events":[{}]}})",
                            R"({"result":{"header":{},"events":[{"type":7}]}})",
                            R"({"result":{"header":{},
                                "events":[{"type":"MOVE","kv":{}}]}})",
                            R"({"error":{"message":"no leader"}})" }) {
    BOOST_TEST(Refuses(ParseWatchMessage, text), text);
  }
}

// Guards against damaged answers that crash the parser or pass as whole.
BOOST_AUTO_TEST_CASE(CutAnswersAreRefused)
{
  RangeAnswer answer;
  answer.keyValues_ = { { "key", "value", 1, 1 } };
  const std::string text = SerializeRangeAnswer(answer);
  for (std::size_t size = 0; size < text.size(); ++size) {
    BOOST_TEST(Refuses(ParseRangeAnswer, text.substr(0, size)));
  }
}

// Guards against a false `not_run` after a fault inside the store.
BOOST_AUTO_TEST_CASE(ErrorsCarryAVerdict)
{
  const Error refused = ParseEtcdError(400, SerializeEtcdError(3, "too large"));
  BOOST_CHECK(refused.verdict_ == Verdict::NotRun);
  BOOST_TEST(refused.message_ == "the store answered 400: too large");
  BOOST_CHECK(ParseEtcdError(503, "").verdict_ == Verdict::MayHaveRun);
}

// Guards against messages that are lost or joined when the network cuts the
// stream at any place.
BOOST_AUTO_TEST_CASE(WatchStreamIsCutAtNewlines)
{
  const std::string body =
    SerializeWatchCreated(4) +
    SerializeWatchEvents({ { false, { "k", "v", 5 } } }, 5) +
    SerializeWatchEvents({ { true, { "k", "", 6 } } }, 6);
  BOOST_TEST(rc::check("any cut", [&] {
    std::vector<KeyEvent> events;
    WatchStream stream([&](const WatchBatch& aBatch) {
      events.insert(events.end(), aBatch.events_.begin(), aBatch.events_.end());
      return true;
    });
    for (std::size_t at = 0; at < body.size();) {
      const auto length = *rc::gen::inRange<std::size_t>(1, 200);
      RC_ASSERT(stream.Feed(std::string_view(body).substr(at, length)));
      at += length;
    }
    RC_ASSERT(stream.IsCreated());
    RC_ASSERT(events.size() == 2U);
    RC_ASSERT(events[1].isDelete_);
    RC_ASSERT(stream.GetRest().empty());
  }));
}

// Guards against a watch that goes on after the store has ended it.
BOOST_AUTO_TEST_CASE(WatchStreamReportsItsEnd)
{
  const auto ignore = [](const WatchBatch&) { return true; };
  WatchStream compacted(ignore);
  BOOST_TEST(!compacted.Feed(SerializeWatchCompacted(9, 8)));
  BOOST_CHECK(compacted.GetEnd()->value() == WatchEnd::Compacted);
  WatchStream damaged(ignore);
  BOOST_TEST(!damaged.Feed("{\"result\":7}\n"));
  BOOST_TEST(damaged.GetEnd()->has_error());
}

// Guards against a range end that takes in other keys or leaves some out.
BOOST_AUTO_TEST_CASE(RangeEndCoversExactlyThePrefix)
{
  BOOST_TEST(MakeRangeEnd("a/") == "a0");
  BOOST_TEST(MakeRangeEnd("a\xff") == "b");
  BOOST_TEST(MakeRangeEnd("\xff") == std::string(1, '\0'));
}

} // namespace azurecross
