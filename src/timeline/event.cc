#include "timeline/event.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>

namespace kch::timeline {
namespace {

using nlohmann::json;

std::string TextOf(const json& object, const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
}

template <typename T>
T NumberOf(const json& object, const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_number() ? found->get<T>() : T{};
}

std::optional<Event> ParseEvent(const json& object) {
  if (!object.is_object()) {
    return std::nullopt;
  }
  Event event{.wall_us = NumberOf<std::int64_t>(object, "wall_us"),
              .mono_us = NumberOf<std::int64_t>(object, "mono_us"),
              .instance = TextOf(object, "instance"),
              .seq = NumberOf<std::uint64_t>(object, "seq"),
              .kind = TextOf(object, "kind"),
              .revision = NumberOf<std::uint64_t>(object, "revision"),
              .request = TextOf(object, "request"),
              .task = TextOf(object, "task"),
              .vm = TextOf(object, "vm"),
              .team = TextOf(object, "team"),
              .zone = TextOf(object, "zone"),
              .pool = TextOf(object, "pool"),
              .peer = TextOf(object, "peer"),
              .peer_seq = NumberOf<std::uint64_t>(object, "peer_seq"),
              .text = TextOf(object, "text")};
  if (event.instance.empty() || event.kind.empty()) {
    return std::nullopt;
  }
  return event;
}

void Add(Stream& stream, const json& object) {
  if (auto event = ParseEvent(object)) {
    stream.events.push_back(std::move(*event));
  } else {
    ++stream.malformed;
  }
}

bool Fits(const std::string& wanted, const std::string& value) {
  return wanted.empty() || wanted == value;
}

}  // namespace

Stream ParseStream(std::string_view text) {
  Stream stream;
  if (text.starts_with('[')) {
    const json listed = json::parse(text, nullptr, false);
    if (!listed.is_array()) {
      ++stream.malformed;
      return stream;
    }
    for (const json& object : listed) {
      Add(stream, object);
    }
    return stream;
  }
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (line.find_first_not_of(" \t\r") != std::string_view::npos) {
      Add(stream, json::parse(line, nullptr, false));
    }
  }
  return stream;
}

bool Filter::Matches(const Event& event) const {
  return Fits(this->request, event.request) && Fits(this->vm, event.vm) &&
         Fits(this->team, event.team) && Fits(this->zone, event.zone) &&
         Fits(this->kind, event.kind);
}

}  // namespace kch::timeline
