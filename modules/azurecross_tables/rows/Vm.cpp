#include "Vm.h"

#include "../codec/FieldReader.h"
#include "../codec/JsonText.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace azurecross {

namespace {

namespace json = boost::json;

json::string_view
ToJson(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

Vm
DecodeVm(const json::object& aObject, TableProblems& aProblems)
{
  FieldReader reader(aObject, "vms", aProblems);
  Vm vm;
  vm.id_ = reader.ReadRequiredText("id");
  vm.role_ = reader.ReadChoice("role", kVmRoleNames, vm.role_);
  vm.group_ = reader.ReadText("group", "");
  vm.availabilityZone_ =
    AvailabilityZone(reader.ReadRequiredText("availability_zone"));
  vm.address_ = reader.ReadAddress("address");
  vm.state_ = reader.ReadChoice("state", kVmStateNames, vm.state_);
  // The platform may add fields to its list, so unknown ones are ignored.
  return vm;
}

json::object
EncodeVm(const Vm& aVm)
{
  json::object object;
  object["id"] = aVm.id_;
  object["role"] = ToJson(kVmRoleNames.FindName(aVm.role_));
  object["group"] = aVm.group_;
  object["availability_zone"] = aVm.availabilityZone_.GetValue();
  object["address"] = aVm.address_.Format();
  object["state"] = ToJson(kVmStateNames.FindName(aVm.state_));
  return object;
}

} // namespace

Result<VmList>
ParseVmList(std::string_view aText)
{
  BOOST_LEAF_AUTO(object, ParseJsonObject(aText, "VM list"));
  TableProblems problems;
  FieldReader reader(object, "VM list", problems);
  VmList list;
  list.version_ = reader.ReadInteger("version", 0, 0, INT64_MAX);
  for (const json::object* entry : reader.ReadObjects("vms")) {
    list.vms_.push_back(DecodeVm(*entry, problems));
  }
  if (!problems.empty()) {
    return MakeFailure(MakeTablesError(problems));
  }
  return list;
}

std::string
SerializeVmList(const VmList& aList)
{
  json::array vms;
  for (const Vm& vm : aList.vms_) {
    vms.emplace_back(EncodeVm(vm));
  }
  json::object object;
  object["version"] = aList.version_;
  object["vms"] = std::move(vms);
  return json::serialize(object);
}

} // namespace azurecross
