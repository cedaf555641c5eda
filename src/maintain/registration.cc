#include "maintain/registration.h"

#include <utility>

namespace kch::maintain {
namespace {

// Maintainers write the same record about once a second, so a writer that
// retries at once rarely fails twice.
constexpr int kMaxAttempts = 16;

Registration::Next Read(std::string key) {
  return {.operation = StoreOp(StoreGet{std::move(key)})};
}

Registration::Next Write(std::string key,
                         std::uint64_t version,
                         std::string value) {
  return {.operation =
              StoreOp(StoreCas{std::move(key), version, std::move(value)})};
}

Registration::Next End(Result<void> result) {
  return {.result = std::move(result)};
}

Registration::Next Unavailable() {
  return End(Fail(ErrorKind::kUnavailable, "the store is not available",
                  "send the same registration again later"));
}

}  // namespace

std::string KeyOf(const VmId& vm) {
  return "vm/" + vm.str();
}

Result<PoolRecord> Register(const PoolRecord& record,
                            VmRow vm,
                            std::int64_t wall_s) {
  if (record.forwards.contains(vm.id)) {
    return Fail(ErrorKind::kConflict,
                "VM " + vm.id.str() + " has moved to pool " +
                    record.forwards.at(vm.id).to.str(),
                "order a move from that pool instead");
  }
  const auto found = record.vms.find(vm.id);
  if (found != record.vms.end()) {
    if (found->second.address != vm.address) {
      return Fail(ErrorKind::kConflict,
                  "VM " + vm.id.str() + " is registered with the address " +
                      found->second.address,
                  "use another id for another VM");
    }
    return record;
  }
  PoolRecord next = record;
  // Without a maintenance time, the VM would be due for a reboot at once.
  vm.maintained_s = wall_s;
  const VmId id = vm.id;
  next.vms.emplace(id, std::move(vm));
  ++next.generation;
  return next;
}

Registration::Registration(PoolId pool,
                           VmRow vm,
                           std::vector<PoolId> others,
                           std::int64_t wall_s)
    : pool(std::move(pool)),
      vm(std::move(vm)),
      others(std::move(others)),
      wall_s(wall_s) {}

Registration::Next Registration::Begin() {
  return this->Claim();
}

Registration::Next Registration::Claim() {
  return Write(KeyOf(this->vm.id), 0, this->pool.str());
}

Registration::Next Registration::ReadPool() {
  if (++this->attempts > kMaxAttempts) {
    return End(
        Fail(ErrorKind::kUnavailable,
             "the record of pool " + this->pool.str() + " changes too often",
             "send the same registration again"));
  }
  this->pools_checked = 0;
  return Read(KeyOf(this->pool));
}

Registration::Next Registration::OnReply(const StoreReply& reply) {
  if (!this->claimed) {
    return this->OnClaim(reply);
  }
  if (reply.is_write) {
    return this->OnPoolWritten(reply);
  }
  if (reply.status != StoreStatus::kOk) {
    return Unavailable();
  }
  return reply.key == KeyOf(this->pool) ? this->OnPoolRead(reply)
                                        : this->OnOtherPool(reply);
}

Registration::Next Registration::OnClaim(const StoreReply& reply) {
  if (reply.is_write) {
    if (reply.status == StoreStatus::kUnavailable) {
      return Unavailable();
    }
    if (reply.status != StoreStatus::kOk) {
      return Read(KeyOf(this->vm.id));
    }
  } else {
    if (reply.status != StoreStatus::kOk) {
      return Unavailable();
    }
    if (!reply.value) {
      // The write with the ambiguous reply had no effect.
      return ++this->attempts > kMaxAttempts ? Unavailable() : this->Claim();
    }
    if (*reply.value != this->pool.str()) {
      return End(Fail(
          ErrorKind::kConflict,
          "VM " + this->vm.id.str() + " is registered in pool " + *reply.value,
          "order a move to pool " + this->pool.str() + " instead"));
    }
  }
  this->claimed = true;
  return this->ReadPool();
}

Registration::Next Registration::OnPoolRead(const StoreReply& reply) {
  this->version = reply.version;
  this->record = PoolRecord{.pool = this->pool};
  if (reply.value) {
    auto decoded = Decode<PoolRecord>(*reply.value);
    if (!decoded) {
      return End(tl::unexpected(decoded.error()));
    }
    this->record = *std::move(decoded);
  }
  auto next = Register(this->record, this->vm, this->wall_s);
  if (!next) {
    return End(tl::unexpected(next.error()));
  }
  if (*next == this->record) {
    return End({});
  }
  this->record = *std::move(next);
  return this->ReadOtherPool();
}

Registration::Next Registration::ReadOtherPool() {
  if (this->pools_checked < this->others.size()) {
    return Read(KeyOf(this->others[this->pools_checked]));
  }
  return Write(KeyOf(this->pool), this->version, Encode(this->record));
}

Registration::Next Registration::OnOtherPool(const StoreReply& reply) {
  if (reply.value) {
    const auto other = Decode<PoolRecord>(*reply.value);
    if (!other) {
      return End(tl::unexpected(other.error()));
    }
    if (other->vms.contains(this->vm.id) ||
        other->forwards.contains(this->vm.id)) {
      return End(Fail(ErrorKind::kConflict,
                      "VM " + this->vm.id.str() + " belongs to pool " +
                          other->pool.str() + " or is leaving it",
                      "order a move instead"));
    }
  }
  ++this->pools_checked;
  return this->ReadOtherPool();
}

Registration::Next Registration::OnPoolWritten(const StoreReply& reply) {
  switch (reply.status) {
    case StoreStatus::kOk:
      return End({});
    case StoreStatus::kUnavailable:
      return Unavailable();
    case StoreStatus::kConflict:
    case StoreStatus::kUnknown:
      break;
  }
  // After an ambiguous reply, the read shows whether the row was written.
  return this->ReadPool();
}

}  // namespace kch::maintain
