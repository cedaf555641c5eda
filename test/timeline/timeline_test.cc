#include "timeline/timeline.h"

#include <rapidcheck.h>
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <utility>

namespace kch::timeline {
namespace {

constexpr int kInstances = 4;

Event At(std::string instance, std::uint64_t seq, std::int64_t time_us) {
  return {.wall_us = time_us,
          .mono_us = time_us,
          .instance = std::move(instance),
          .seq = seq,
          .kind = "step"};
}

Event After(Event event, std::string peer, std::uint64_t peer_seq) {
  event.peer = std::move(peer);
  event.peer_seq = peer_seq;
  return event;
}

std::string OrderOf(const Timeline& timeline) {
  std::string order;
  for (const Placed& placed : timeline.events) {
    order += placed.event.instance + std::to_string(placed.event.seq) + " ";
  }
  return order;
}

// Guards against an effect before its cause because a clock is behind.
BOOST_AUTO_TEST_CASE(EffectFollowsCauseOnSlowClock) {
  const Timeline timeline = Merge(
      {At("a", 1, 5000), After(At("b", 1, 1000), "a", 1), At("b", 2, 1500)});
  BOOST_TEST(OrderOf(timeline) == "a1 b1 b2 ");
  BOOST_TEST(timeline.offsets_us.at("b") == 4000);
}

// Guards against a one-way estimate where messages went both ways: the true
// offset of b is 10000 and each message takes 100.
BOOST_AUTO_TEST_CASE(OffsetIsMidwayWithMessagesBothWays) {
  const Timeline timeline =
      Merge({At("a", 1, 0), After(At("b", 1, 10'100), "a", 1),
             At("b", 2, 10'300), After(At("a", 2, 400), "b", 2)});
  BOOST_TEST(timeline.offsets_us.at("b") - timeline.offsets_us.at("a") ==
             -10'000);
  BOOST_TEST(OrderOf(timeline) == "a1 b1 b2 a2 ");
}

// Guards against a jump of the wall clock that reorders one process's events.
BOOST_AUTO_TEST_CASE(WallClockStepIsIgnored) {
  Event second = At("a", 2, 2000);
  second.wall_us = -50'000;
  const Timeline timeline = Merge({second, At("b", 1, 1500), At("a", 1, 1000)});
  BOOST_TEST(OrderOf(timeline) == "a1 b1 a2 ");
}

// Guards against losing the order when the named cause was dropped from the
// peer's buffer.
BOOST_AUTO_TEST_CASE(MissingCauseIsReplacedByEarlierOne) {
  const Timeline timeline = Merge(
      {At("a", 1, 9000), At("a", 5, 9900), After(At("b", 1, 100), "a", 3)});
  BOOST_TEST(OrderOf(timeline) == "a1 b1 a5 ");
}

// Guards against an endless loop or lost events on contradictory input.
BOOST_AUTO_TEST_CASE(ContradictionsAndDuplicatesAreCounted) {
  Event other = At("c", 1, 7);
  other.kind = "other";
  const Timeline timeline =
      Merge({After(At("a", 1, 1), "b", 1), After(At("b", 1, 2), "a", 1),
             At("c", 1, 7), At("c", 1, 7), other});
  BOOST_TEST(timeline.events.size() == 3U);
  BOOST_TEST(timeline.cycles == 1U);
  BOOST_TEST(timeline.duplicates == 1U);
  BOOST_TEST(timeline.conflicts == 1U);
}

// Guards against any effect before its cause, in place or in time, whatever
// the clocks of the instances are.
BOOST_AUTO_TEST_CASE(CausesPrecedeEffectsInRandomHistories) {
  const bool held = rc::check([] {
    const auto clocks = *rc::gen::container<std::vector<std::int64_t>>(
        kInstances, rc::gen::inRange<std::int64_t>(-1'000'000, 1'000'000));
    std::vector<std::uint64_t> last(kInstances, 0);
    std::vector<Event> events;
    const int steps = *rc::gen::inRange(0, 60);
    for (int step = 0; step < steps; ++step) {
      const auto i = *rc::gen::inRange<std::size_t>(0, kInstances);
      const auto peer = *rc::gen::inRange<std::size_t>(0, kInstances);
      Event event = At(std::string(1, static_cast<char>('a' + i)), ++last[i],
                       std::int64_t{100} * step + clocks[i]);
      if (peer != i && last[peer] > 0) {
        event = After(event, std::string(1, static_cast<char>('a' + peer)),
                      *rc::gen::inRange<std::uint64_t>(1, last[peer] + 1));
      }
      events.push_back(event);
    }
    std::vector<Event> mixed = events;
    std::ranges::reverse(mixed);
    const Timeline timeline = Merge(mixed);
    RC_ASSERT(timeline.events.size() == events.size());
    RC_ASSERT(timeline.cycles == 0U);
    std::map<std::pair<std::string, std::uint64_t>, std::int64_t> seen;
    std::int64_t latest = std::numeric_limits<std::int64_t>::min();
    for (const auto& [event, time_us] : timeline.events) {
      RC_ASSERT(time_us >= latest);
      latest = time_us;
      RC_ASSERT(event.seq == 1 ||
                seen.contains({event.instance, event.seq - 1}));
      RC_ASSERT(event.peer.empty() ||
                seen.contains({event.peer, event.peer_seq}));
      seen[{event.instance, event.seq}] = time_us;
    }
  });
  BOOST_TEST(held);
}

// Guards against one bad line hiding a stream, and fields lost on the way.
BOOST_AUTO_TEST_CASE(StreamsAreParsedAndPrinted) {
  const std::string line =
      R"({"wall_us":1500000,"mono_us":7,"instance":"a","seq":3,"kind":"start",)"
      R"("revision":9,"request":"r","vm":"v","peer":"b","peer_seq":2})";
  const Stream stream = ParseStream(line + "\n\nnonsense\n{}\n" + line);
  BOOST_TEST(stream.malformed == 2U);
  BOOST_REQUIRE(stream.events.size() == 2U);
  const Placed placed{stream.events[0], 1'500'000};
  BOOST_TEST(ToText(placed) ==
             "1970-01-01T00:00:01.500000Z a#3 start revision=9 request=r vm=v "
             "peer=b#2");
  BOOST_TEST((ParseStream(ToJson(placed)).events == std::vector{placed.event}));
  BOOST_TEST(ParseStream("[" + line + "," + line + "]").events.size() == 2U);
}

// Guards against a filter that shows other events or hides wanted ones.
BOOST_AUTO_TEST_CASE(FilterMatchesAllGivenFields) {
  Event event = At("a", 1, 1);
  event.request = "r";
  event.zone = "z";
  BOOST_TEST(Filter{}.Matches(event));
  const Filter both{.request = "r", .zone = "z"};
  BOOST_TEST(both.Matches(event));
  const Filter other{.request = "r", .zone = "y"};
  BOOST_TEST(!other.Matches(event));
}

}  // namespace
}  // namespace kch::timeline
