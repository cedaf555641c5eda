#include "maintain/record.h"

#include <nlohmann/json.hpp>
#include <optional>

namespace kch::maintain {
namespace {

using Json = nlohmann::json;

Json ToJson(const VmRow& vm) {
  return {{"id", vm.id.str()},
          {"address", vm.address},
          {"zone", vm.zone.str()},
          {"rack", vm.rack.str()},
          {"slots", vm.slots},
          {"cpus", vm.cpus},
          {"memory_mb", vm.memory_mb},
          {"accelerators", vm.accelerators},
          {"state", NameOf(vm.state)},
          {"purpose", NameOf(vm.purpose)},
          {"to", vm.to.str()},
          {"operation", vm.operation},
          {"step", vm.step},
          {"since", vm.since},
          {"since_s", vm.since_s},
          {"boot", vm.boot},
          {"maintained_s", vm.maintained_s},
          {"epoch", vm.epoch},
          {"reason", vm.reason}};
}

template <typename E>
E EnumFrom(const Json& json, const char* key) {
  const auto name = json.at(key).get<std::string>();
  const auto value = FromName<E>(name);
  if (!value) {
    throw Json::other_error::create(
        501,
        std::string(key) + " is '" + name + "', not one of " + NamesOf<E>(),
        &json);
  }
  return *value;
}

VmRow VmFrom(const Json& json) {
  VmRow vm;
  vm.id = VmId(json.at("id").get<std::string>());
  vm.address = json.at("address").get<std::string>();
  vm.zone = ZoneId(json.at("zone").get<std::string>());
  vm.rack = RackId(json.at("rack").get<std::string>());
  vm.slots = json.at("slots").get<std::uint32_t>();
  vm.cpus = json.at("cpus").get<std::uint32_t>();
  vm.memory_mb = json.at("memory_mb").get<std::uint32_t>();
  vm.accelerators = json.at("accelerators").get<std::uint32_t>();
  vm.state = EnumFrom<VmState>(json, "state");
  vm.purpose = EnumFrom<Purpose>(json, "purpose");
  vm.to = PoolId(json.at("to").get<std::string>());
  vm.operation = json.at("operation").get<std::string>();
  vm.step = json.at("step").get<std::uint32_t>();
  vm.since = json.at("since").get<std::uint64_t>();
  vm.since_s = json.at("since_s").get<std::int64_t>();
  vm.boot = json.at("boot").get<std::string>();
  vm.maintained_s = json.at("maintained_s").get<std::int64_t>();
  vm.epoch = json.at("epoch").get<std::uint64_t>();
  vm.reason = json.at("reason").get<std::string>();
  return vm;
}

Json ToJson(const std::vector<OrderRow>& orders) {
  Json list = Json::array();
  for (const auto& order : orders) {
    list.push_back({{"vm", order.vm.str()},
                    {"purpose", NameOf(order.purpose)},
                    {"to", order.to.str()},
                    {"reason", order.reason}});
  }
  return list;
}

std::vector<OrderRow> OrdersFrom(const Json& list) {
  std::vector<OrderRow> orders;
  for (const auto& json : list) {
    orders.push_back({VmId(json.at("vm").get<std::string>()),
                      EnumFrom<Purpose>(json, "purpose"),
                      PoolId(json.at("to").get<std::string>()),
                      json.at("reason").get<std::string>()});
  }
  return orders;
}

template <typename Key, typename Value>
Json MapToJson(const std::map<Key, Value>& map) {
  Json json = Json::object();
  for (const auto& [key, value] : map) {
    json[key.str()] = value;
  }
  return json;
}

template <typename Key, typename Value>
std::map<Key, Value> MapFrom(const Json& json) {
  std::map<Key, Value> map;
  for (const auto& [key, value] : json.items()) {
    map[Key(key)] = value.template get<Value>();
  }
  return map;
}

}  // namespace

bool IsJoining(const VmRow& vm) {
  // The source of a move forwards the VM before this state.
  return vm.state == VmState::kChecking && vm.purpose == Purpose::kMove;
}

void EnterState(PoolRecord& record, const VmId& vm, VmState state) {
  auto& row = record.vms.at(vm);
  row.state = state;
  ++row.step;
  ++record.generation;
}

std::string KeyOf(const PoolId& pool) {
  return "pool/" + pool.str();
}

std::string Encode(const PoolRecord& record) {
  Json vms = Json::array();
  for (const auto& [id, vm] : record.vms) {
    vms.push_back(ToJson(vm));
  }
  Json forwards = Json::array();
  for (const auto& [id, forward] : record.forwards) {
    forwards.push_back({{"vm", ToJson(forward.vm)},
                        {"to", forward.to.str()},
                        {"generation", forward.generation},
                        {"orders", ToJson(forward.orders)}});
  }
  const Json json{{"pool", record.pool.str()},
                  {"generation", record.generation},
                  {"vms", std::move(vms)},
                  {"forwards", std::move(forwards)},
                  {"ledger", MapToJson(record.ledger)},
                  {"orders", ToJson(record.orders)},
                  {"order_ids", record.order_ids},
                  {"rollout_s", record.rollout_s},
                  {"resized_s", record.resized_s},
                  {"adopted", MapToJson(record.adopted)},
                  {"based_on", MapToJson(record.based_on)}};
  return json.dump();
}

template <>
Result<PoolRecord> Decode<PoolRecord>(std::string_view text) {
  try {
    const Json json = Json::parse(text);
    PoolRecord record;
    record.pool = PoolId(json.at("pool").get<std::string>());
    record.generation = json.at("generation").get<std::uint64_t>();
    for (const auto& row : json.at("vms")) {
      VmRow vm = VmFrom(row);
      const VmId id = vm.id;
      record.vms.emplace(id, std::move(vm));
    }
    for (const auto& row : json.at("forwards")) {
      ForwardRow forward{VmFrom(row.at("vm")),
                         PoolId(row.at("to").get<std::string>()),
                         row.at("generation").get<std::uint64_t>(),
                         OrdersFrom(row.at("orders"))};
      const VmId id = forward.vm.id;
      record.forwards.emplace(id, std::move(forward));
    }
    record.ledger = MapFrom<VmId, std::int64_t>(json.at("ledger"));
    record.orders = OrdersFrom(json.at("orders"));
    record.order_ids = json.at("order_ids").get<std::vector<std::string>>();
    record.rollout_s = json.at("rollout_s").get<std::int64_t>();
    record.resized_s = json.at("resized_s").get<std::int64_t>();
    record.adopted = MapFrom<PoolId, std::uint64_t>(json.at("adopted"));
    record.based_on = MapFrom<PoolId, std::uint64_t>(json.at("based_on"));
    return record;
  } catch (const Json::exception& error) {
    return Fail(ErrorKind::kCorrupt,
                std::string("pool record cannot be read: ") + error.what(),
                "restore the record from the store's history");
  }
}

}  // namespace kch::maintain
