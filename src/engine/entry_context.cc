#include "engine/entry_context.h"

#include <utility>
#include <variant>

namespace kch::engine {
namespace {

permit::Settings PermitSettings(const Settings& settings) {
  permit::Settings result;
  result.max_task_lease = settings.longest_lease;
  result.reclaim_margin = settings.lease_margin;
  return result;
}

// Converts the effects of the permit agent to effects of the entry.
struct PermitVisitor {
  EntryContext& context;

  void operator()(StoreOp& operation) const {
    this->context.effects.emplace_back(
        StoreRequest{StoreUser::kPermits, std::move(operation)});
  }
  void operator()(permit::RequestTransfer& ask) const {
    this->context.Send(ask.instance, PermitAsk{ask.subject, ask.count});
  }
  void operator()(permit::Adopted& adopted) const {
    this->context.adopted.push_back(std::move(adopted));
  }
  void operator()(permit::AdoptionFailed& failed) const {
    this->context.adopt_failed.push_back(std::move(failed));
  }
};

}  // namespace

EntryContext::EntryContext(const member::Member& self,
                           const Settings& settings,
                           Random::result_type seed,
                           Time now)
    : settings(settings),
      membership(self, now),
      permits({self.instance, self.incarnation},
              PermitSettings(settings),
              seed),
      claims({}, seed + 1),
      random(seed + 2) {}

bool EntryContext::Fresh(Time now) const {
  return this->membership.HasFreshContact(now) &&
         !(this->behind_since &&
           now - *this->behind_since > member::kMaxContactAge);
}

void EntryContext::Send(const InstanceId& to, MessageBody body) {
  if (to == this->self()) {
    this->loopback.push_back(std::move(body));
    return;
  }
  Message message;
  message.from = this->self();
  message.from_incarnation = this->membership.self().incarnation;
  const auto found = this->incarnations.find(to);
  message.to_incarnation =
      found == this->incarnations.end() ? 0 : found->second;
  message.body = std::move(body);
  this->effects.emplace_back(SendPeer{to, std::move(message)});
}

void EntryContext::Apply(permit::Effects changes) {
  for (permit::Effect& change : changes) {
    std::visit(PermitVisitor{*this}, change);
  }
}

void EntryContext::SendStoreOps(StoreUser user,
                                std::vector<StoreOp> operations) {
  for (StoreOp& operation : operations) {
    this->effects.emplace_back(StoreRequest{user, std::move(operation)});
  }
}

}  // namespace kch::engine
