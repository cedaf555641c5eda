#include "timeline/merge.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <queue>
#include <set>
#include <tuple>
#include <utility>

namespace kch::timeline {
namespace {

using nlohmann::json;

constexpr std::size_t kNone = std::numeric_limits<std::size_t>::max();
constexpr std::int64_t kMicrosPerSecond = 1'000'000;

// An event with its links to others, by position in the list of nodes.
struct Node {
  const Event* event = nullptr;
  std::int64_t time_us = 0;  // on the clock of its instance
  std::size_t cause = kNone;
  std::vector<std::size_t> effects;
  int open_causes = 0;
};

// Nodes of each instance in the order of their numbers.
using Streams = std::map<std::string, std::vector<std::size_t>>;

struct Graph {
  std::vector<Node> nodes;
  Streams streams;
};

Graph BuildGraph(const std::vector<Event>& events, Timeline& timeline) {
  std::map<std::string, std::map<std::uint64_t, const Event*>> sorted;
  for (const Event& event : events) {
    const auto [place, added] =
        sorted[event.instance].try_emplace(event.seq, &event);
    if (!added) {
      ++(*place->second == event ? timeline.duplicates : timeline.conflicts);
    }
  }
  Graph graph;
  for (const auto& [instance, stream] : sorted) {
    // The wall clock may be set while a process runs, so only its first value
    // counts; the monotonic clock gives the rest.
    const Event& first = *stream.begin()->second;
    for (const auto& [seq, event] : stream) {
      graph.streams[instance].push_back(graph.nodes.size());
      graph.nodes.push_back(
          {.event = event,
           .time_us = first.wall_us + event->mono_us - first.mono_us});
    }
  }
  return graph;
}

// The last event of an instance up to a number; the exact one may have been
// dropped from a full event buffer.
std::size_t FindUpTo(const Graph& graph,
                     const std::string& instance,
                     std::uint64_t seq) {
  const auto stream = graph.streams.find(instance);
  if (stream == graph.streams.end()) {
    return kNone;
  }
  const auto& nodes = stream->second;
  const auto after =
      std::upper_bound(nodes.begin(), nodes.end(), seq,
                       [&graph](std::uint64_t wanted, std::size_t node) {
                         return wanted < graph.nodes[node].event->seq;
                       });
  return after == nodes.begin() ? kNone : *std::prev(after);
}

void LinkCauses(Graph& graph) {
  for (std::size_t i = 0; i < graph.nodes.size(); ++i) {
    const Event& event = *graph.nodes[i].event;
    if (event.peer.empty() || event.peer == event.instance) {
      continue;
    }
    const std::size_t cause = FindUpTo(graph, event.peer, event.peer_seq);
    if (cause != kNone) {
      graph.nodes[i].cause = cause;
      graph.nodes[cause].effects.push_back(i);
      ++graph.nodes[i].open_causes;
    }
  }
  for (const auto& [instance, stream] : graph.streams) {
    for (std::size_t i = 1; i < stream.size(); ++i) {
      graph.nodes[stream[i - 1]].effects.push_back(stream[i]);
      ++graph.nodes[stream[i]].open_causes;
    }
  }
}

// Bounds of offset(second) - offset(first) for a pair of instances.
struct Bounds {
  std::optional<std::int64_t> low;
  std::optional<std::int64_t> high;

  void AtLeast(std::int64_t value) {
    this->low = std::max(this->low.value_or(value), value);
  }
  void AtMost(std::int64_t value) {
    this->high = std::min(this->high.value_or(value), value);
  }
  [[nodiscard]] std::int64_t Width() const {
    return this->low && this->high ? *this->high - *this->low
                                   : std::numeric_limits<std::int64_t>::max();
  }
  // With messages both ways the middle is best, as in NTP; with messages one
  // way the clocks are trusted as far as causes allow.
  [[nodiscard]] std::int64_t Estimate() const {
    if (this->low && this->high) {
      return *this->low + (*this->high - *this->low) / 2;
    }
    if (this->low) {
      return std::max<std::int64_t>(0, *this->low);
    }
    return std::min<std::int64_t>(0, this->high.value_or(0));
  }
};

using Pair = std::pair<std::string, std::string>;

std::map<Pair, Bounds> FindBounds(const Graph& graph) {
  std::map<Pair, Bounds> bounds;
  for (const Node& node : graph.nodes) {
    if (node.cause == kNone) {
      continue;
    }
    const Node& cause = graph.nodes[node.cause];
    const std::string& from = cause.event->instance;
    const std::string& to = node.event->instance;
    // time(effect) + offset(to) >= time(cause) + offset(from)
    const std::int64_t least = cause.time_us - node.time_us;
    if (from < to) {
      bounds[{from, to}].AtLeast(least);
    } else {
      bounds[{to, from}].AtMost(-least);
    }
  }
  return bounds;
}

// Spreads offsets from one instance over the tightest pairs first.
std::map<std::string, std::int64_t> EstimateOffsets(const Graph& graph) {
  const std::map<Pair, Bounds> bounds = FindBounds(graph);
  std::map<std::string, std::vector<std::pair<const Pair*, const Bounds*>>>
      pairs_of;
  for (const auto& [pair, bound] : bounds) {
    pairs_of[pair.first].emplace_back(&pair, &bound);
    pairs_of[pair.second].emplace_back(&pair, &bound);
  }
  using Step = std::tuple<std::int64_t, std::string, std::int64_t>;
  std::map<std::string, std::int64_t> offsets;
  for (const auto& [root, stream] : graph.streams) {
    if (offsets.contains(root)) {
      continue;
    }
    std::priority_queue<Step, std::vector<Step>, std::greater<>> next;
    next.emplace(0, root, 0);
    while (!next.empty()) {
      const auto [width, instance, offset] = next.top();
      next.pop();
      if (!offsets.try_emplace(instance, offset).second) {
        continue;
      }
      for (const auto& [pair, bound] : pairs_of[instance]) {
        const std::int64_t difference = bound->Estimate();
        if (pair->first == instance) {
          next.emplace(bound->Width(), pair->second, offset + difference);
        } else {
          next.emplace(bound->Width(), pair->first, offset - difference);
        }
      }
    }
  }
  return offsets;
}

// Emits nodes by time, each after its causes.
void Order(Graph& graph, Timeline& timeline) {
  using Ready = std::pair<std::int64_t, std::size_t>;
  std::vector<std::int64_t> times;
  std::set<Ready> waiting;
  std::set<Ready> ready;
  for (std::size_t i = 0; i < graph.nodes.size(); ++i) {
    const Node& node = graph.nodes[i];
    times.push_back(node.time_us +
                    timeline.offsets_us.at(node.event->instance));
    (node.open_causes == 0 ? ready : waiting).emplace(times[i], i);
  }
  while (!ready.empty() || !waiting.empty()) {
    if (ready.empty()) {
      // Only contradictory input gets here: the earliest event goes first.
      ready.insert(waiting.extract(waiting.begin()));
      graph.nodes[ready.begin()->second].open_causes = 0;
      ++timeline.cycles;
    }
    const std::size_t i = ready.extract(ready.begin()).value().second;
    timeline.events.push_back({*graph.nodes[i].event, times[i]});
    for (const std::size_t effect : graph.nodes[i].effects) {
      Node& node = graph.nodes[effect];
      if (node.open_causes == 0) {
        continue;
      }
      waiting.erase({times[effect], effect});
      times[effect] = std::max(times[effect], times[i]);
      (--node.open_causes == 0 ? ready : waiting)
          .emplace(times[effect], effect);
    }
  }
}

std::string ClockText(std::int64_t time_us) {
  const std::time_t seconds = time_us / kMicrosPerSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  const std::string micros =
      std::to_string(kMicrosPerSecond + time_us % kMicrosPerSecond);
  return std::string(text.data()) + "." + micros.substr(1) + "Z";
}

std::vector<std::pair<const char*, const std::string*>> TextsOf(
    const Event& event) {
  return {{"request", &event.request}, {"task", &event.task},
          {"vm", &event.vm},           {"team", &event.team},
          {"zone", &event.zone},       {"pool", &event.pool},
          {"peer", &event.peer}};
}

}  // namespace

Timeline Merge(const std::vector<Event>& events) {
  Timeline timeline;
  Graph graph = BuildGraph(events, timeline);
  LinkCauses(graph);
  timeline.offsets_us = EstimateOffsets(graph);
  Order(graph, timeline);
  return timeline;
}

std::string ToText(const Placed& placed) {
  const Event& event = placed.event;
  std::string line = ClockText(placed.time_us);
  line += " " + event.instance + "#" + std::to_string(event.seq);
  line += " " + event.kind + " revision=" + std::to_string(event.revision);
  for (const auto& [name, value] : TextsOf(event)) {
    if (!value->empty()) {
      line += std::string(" ") + name + "=" + *value;
    }
  }
  if (!event.peer.empty()) {
    line += "#" + std::to_string(event.peer_seq);
  }
  if (!event.text.empty()) {
    line += " " + event.text;
  }
  return line;
}

std::string ToJson(const Placed& placed) {
  const Event& event = placed.event;
  json object{{"time_us", placed.time_us}, {"wall_us", event.wall_us},
              {"mono_us", event.mono_us},  {"instance", event.instance},
              {"seq", event.seq},          {"kind", event.kind},
              {"revision", event.revision}};
  for (const auto& [name, value] : TextsOf(event)) {
    if (!value->empty()) {
      object[name] = *value;
    }
  }
  if (!event.peer.empty()) {
    object["peer_seq"] = event.peer_seq;
  }
  if (!event.text.empty()) {
    object["text"] = event.text;
  }
  return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace kch::timeline
