#include <boost/test/unit_test.hpp>

#include <azurecross_cluster/azurecross_cluster.h>
#include <rapidcheck.h>

namespace azurecross {

namespace {

wire::PeerMessage
MakeRelease()
{
  wire::PeerMessage message;
  message.mutable_grant_release()->set_grant(7);
  return message;
}

wire::PeerMessage
MakeEnvelope(std::uint64_t aIncarnation, std::uint64_t aSequence)
{
  wire::PeerMessage message = MakeRelease();
  message.set_sender("a");
  message.set_incarnation(aIncarnation);
  message.set_sequence(aSequence);
  return message;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Envelopes)

// Guards against fields lost between sender and receiver.
BOOST_AUTO_TEST_CASE(MessageSurvivesEncoding)
{
  EnvelopeStamper stamper(EntryId("a"), Incarnation(5));
  wire::PeerMessage message = MakeRelease();
  stamper.Stamp({ "127.0.0.1", 1 }, message);
  const auto decoded = DecodePeerMessage(EncodePeerMessage(message));
  BOOST_REQUIRE(decoded);
  BOOST_TEST(decoded->sender() == "a");
  BOOST_TEST(decoded->incarnation() == 5U);
  BOOST_TEST(decoded->sequence() == 1U);
  BOOST_TEST(decoded->grant_release().grant() == 7U);
}

// Guards against a request refused because its caller chose an id that is not
// UTF-8.
BOOST_AUTO_TEST_CASE(TextNeedNotBeUtf8)
{
  EnvelopeStamper stamper(EntryId("a"), Incarnation(5));
  wire::PeerMessage message;
  message.mutable_grant_request()->set_request("\xff\xfe");
  stamper.Stamp({ "127.0.0.1", 1 }, message);
  const auto decoded = DecodePeerMessage(EncodePeerMessage(message));
  BOOST_REQUIRE(decoded);
  BOOST_TEST((decoded->grant_request().request() == "\xff\xfe"));
}

// Guards against a crash or an accepted message for random bytes.
BOOST_AUTO_TEST_CASE(RandomBytesAreRefused)
{
  const bool holds = rc::check([](const std::string& aBytes) {
    const auto decoded = DecodePeerMessage(aBytes);
    if (decoded) {
      RC_ASSERT(!decoded->sender().empty());
      RC_ASSERT(decoded->version() == kPeerMessageVersion);
    }
  });
  BOOST_TEST(holds);
}

// Guards against a crash on a valid message with flipped or missing bytes.
BOOST_AUTO_TEST_CASE(DamagedMessagesAreHandled)
{
  EnvelopeStamper stamper(EntryId("a"), Incarnation(5));
  wire::PeerMessage message;
  wire::Heartbeat& heartbeat = *message.mutable_heartbeat();
  heartbeat.mutable_self()->set_member("a");
  heartbeat.add_updates()->set_member("b");
  stamper.Stamp({ "127.0.0.1", 1 }, message);
  const std::string bytes = EncodePeerMessage(message);
  Random random(11);
  ClusterActions actions;
  int decodable = 0;
  for (int round = 0; round < 20000; ++round) {
    std::string damaged = bytes.substr(0, 1 + random.DrawBelow(bytes.size()));
    for (std::uint64_t flips = random.DrawBelow(4); flips > 0; --flips) {
      damaged[random.DrawBelow(damaged.size())] =
        static_cast<char>(random.DrawBits());
    }
    Membership membership({ EntryId("b"),
                            Incarnation(1),
                            AvailabilityZone("z"),
                            { "127.0.0.1", 2 },
                            1.0,
                            {} },
                          Time{},
                          1);
    const auto decoded = DecodePeerMessage(damaged);
    if (decoded) {
      ++decodable;
      membership.HandleMessage(*decoded, Time{}, actions);
    }
    actions.Clear();
  }
  // Otherwise the loop tests the decoder only.
  BOOST_TEST(decodable > 100);
}

// Guards against a message of an earlier process or a duplicate being
// processed, and against a late one within the window being lost.
BOOST_AUTO_TEST_CASE(StaleAndDuplicatedMessagesAreDropped)
{
  EnvelopeFilter filter;
  const auto check = [&](std::uint64_t aIncarnation, std::uint64_t aSequence) {
    return filter.Check(MakeEnvelope(aIncarnation, aSequence));
  };
  BOOST_TEST((check(2, 1) == EnvelopeDecision::Accepted));
  BOOST_TEST((check(2, 1) == EnvelopeDecision::Duplicate));
  BOOST_TEST((check(2, 3) == EnvelopeDecision::Accepted));
  BOOST_TEST((check(2, 2) == EnvelopeDecision::Accepted));
  BOOST_TEST((check(2, 2) == EnvelopeDecision::Duplicate));
  BOOST_TEST((check(1, 9) == EnvelopeDecision::StaleIncarnation));
  BOOST_TEST((check(2, 200) == EnvelopeDecision::Accepted));
  BOOST_TEST((check(2, 100) == EnvelopeDecision::TooOld));
  BOOST_TEST((check(3, 1) == EnvelopeDecision::Accepted));
  BOOST_TEST((check(2, 201) == EnvelopeDecision::StaleIncarnation));
}

// Guards against any order of delivery letting one message through twice.
BOOST_AUTO_TEST_CASE(NoSequenceIsAcceptedTwice)
{
  const bool holds = rc::check([] {
    EnvelopeFilter filter;
    std::set<std::uint64_t> accepted;
    const auto sequences = *rc::gen::container<std::vector<std::uint64_t>>(
      rc::gen::inRange<std::uint64_t>(1, 150));
    for (const std::uint64_t sequence : sequences) {
      if (filter.Check(MakeEnvelope(1, sequence)) ==
          EnvelopeDecision::Accepted) {
        RC_ASSERT(accepted.insert(sequence).second);
      }
    }
  });
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace azurecross
