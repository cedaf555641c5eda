#include "app/fleet/load_meter.h"

#include <algorithm>
#include <chrono>

namespace kch::app {
namespace {

constexpr auto kInterval = std::chrono::seconds(1);
// Renewals of leases and answers to callers suffer from a longer delay.
constexpr auto kLate = std::chrono::milliseconds(250);
constexpr double kUsPerMs = 1000;

double Ms(Duration duration) {
  return static_cast<double>(duration.count()) / kUsPerMs;
}

}  // namespace

void LoadMeter::OnEvent(Duration delay, Duration length) {
  ++this->events;
  this->longest_delay = std::max(this->longest_delay, delay);
  this->longest_event = std::max(this->longest_event, length);
  this->event_time += length;
}

void LoadMeter::OnPass(Duration length) {
  ++this->passes;
  this->pass_time += length;
  this->longest_pass = std::max(this->longest_pass, length);
}

// What the process calls shares one thread, its connections and the link. If
// these are short, what it reads and writes is late while its decisions are on
// time.
void LoadMeter::LogCalls(const net::ClientLoad& calls) const {
  net::LogEvent(
      "calls", {{"open", std::to_string(calls.open)},
                {"unsent", std::to_string(calls.unsent)},
                {"answered", std::to_string(calls.answered)},
                {"not_sent", std::to_string(calls.not_sent)},
                {"broken", std::to_string(calls.broken)},
                {"sent_bytes", std::to_string(calls.sent_bytes)},
                {"received_bytes", std::to_string(calls.received_bytes)},
                {"busy_ms", std::to_string(ToMs(calls.busy))},
                {"longest_busy_ms", std::to_string(ToMs(calls.longest_busy))}});
}

std::optional<lead::OwnerLoad> LoadMeter::Tick(Time now, bool told) {
  const Duration interval = now - this->since;
  if (interval < kInterval) {
    return std::nullopt;
  }
  std::optional<lead::OwnerLoad> load;
  const net::ClientLoad calls = this->client.TakeLoad();
  if (this->since != Time()) {
    load = {.decisions = (this->event_time + this->pass_time) /
                         std::chrono::duration<double>(interval),
            .calls = calls.busy / std::chrono::duration<double>(interval)};
    this->metrics.Set("calls_open", static_cast<double>(calls.open));
    this->metrics.Set("calls_unsent", static_cast<double>(calls.unsent));
    this->metrics.Delay("client_busy", Ms(calls.longest_busy));
    this->metrics.Delay("event_delay", Ms(this->longest_delay));
    this->metrics.Delay("event", Ms(this->longest_event));
    this->metrics.Delay("pass", Ms(this->longest_pass));
    if (told || this->longest_delay >= kLate) {
      net::LogEvent(
          "load",
          {{"events", std::to_string(this->events)},
           {"longest_delay_ms", std::to_string(ToMs(this->longest_delay))},
           {"longest_event_ms", std::to_string(ToMs(this->longest_event))},
           {"passes", std::to_string(this->passes)},
           {"pass_ms", std::to_string(ToMs(this->pass_time))},
           {"longest_pass_ms", std::to_string(ToMs(this->longest_pass))}});
      this->LogCalls(calls);
    }
  }
  this->since = now;
  this->events = 0;
  this->longest_delay = {};
  this->longest_event = {};
  this->event_time = {};
  this->passes = 0;
  this->pass_time = {};
  this->longest_pass = {};
  return load;
}

}  // namespace kch::app
