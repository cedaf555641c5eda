#include "app/fleet/peer.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace kch::app {
namespace {

using nlohmann::json;

// An owner answers from memory; the store is asked if it takes longer.
constexpr int kTimeoutMs = 350;
constexpr int kConnectTimeoutMs = 200;

net::HttpCall MakeCall(const std::string& address, const std::string& path) {
  return {.url = "http://" + address + path,
          .connect_timeout_ms = kConnectTimeoutMs,
          .timeout_ms = kTimeoutMs};
}

}  // namespace

std::string EncodeAnswer(const std::optional<jobs::JobView>& job) {
  if (!job) {
    return json{{"known", false}}.dump();
  }
  return json{{"known", true},
              {"state", NameOf(job->state)},
              {"team", job->team.str()},
              {"queue", job->queue.str()}}
      .dump();
}

std::string EncodeAnswer(std::int64_t pending) {
  return json{{"pending", pending}}.dump();
}

void Peer::AskJob(const std::string& address,
                  const jobs::JobId& job,
                  std::function<void(JobAnswer)> done) {
  this->client.Send(MakeCall(address, ingress::StatePath(job)),
                    [done = std::move(done)](const net::HttpResult& result) {
                      JobAnswer answer;
                      const json body =
                          json::parse(result.body, nullptr, false);
                      if (result.Success() && body.is_object()) {
                        answer.answered = true;
                        if (body.value("known", false)) {
                          const auto state =
                              FromName<jobs::JobState>(body.value("state", ""));
                          answer.answered = state.has_value();
                          answer.job = {state.value_or(jobs::JobState::kQueued),
                                        TeamId(body.value("team", "")),
                                        jobs::QueueId(body.value("queue", ""))};
                        }
                      }
                      done(std::move(answer));
                    });
}

void Peer::AskPending(const std::string& address,
                      const jobs::QueueId& queue,
                      std::function<void(PendingAnswer)> done) {
  this->client.Send(MakeCall(address, ingress::PendingPath(queue)),
                    [done = std::move(done)](const net::HttpResult& result) {
                      PendingAnswer answer;
                      const json body =
                          json::parse(result.body, nullptr, false);
                      if (result.Success() && body.is_object()) {
                        answer = {true, body.value("pending", std::int64_t{0})};
                      }
                      done(answer);
                    });
}

void Peer::TellCancel(const std::string& address, const jobs::JobId& job) {
  net::HttpCall call = MakeCall(address, ingress::CancelPath(job));
  call.method = "POST";
  // Without an answer the owner learns of it from the store.
  this->client.Send(std::move(call), [](const net::HttpResult&) {});
}

}  // namespace kch::app
