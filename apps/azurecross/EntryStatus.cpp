#include "EntryStatus.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <iostream>

namespace azurecross {

namespace json = boost::json;

std::optional<TableRevision>
ParseStatusRevision(std::string_view aText)
{
  json::error_code code;
  const json::value status =
    json::parse(json::string_view(aText.data(), aText.size()), code);
  if (code || !status.is_object()) {
    return std::nullopt;
  }
  const json::value* tables = status.get_object().if_contains("tables");
  if (tables == nullptr || !tables->is_object()) {
    return std::nullopt;
  }
  const json::value* number = tables->get_object().if_contains("revision");
  const json::value* editId = tables->get_object().if_contains("edit_id");
  if (number == nullptr || !number->is_int64() || number->get_int64() == 0 ||
      editId == nullptr || !editId->is_string()) {
    return std::nullopt;
  }
  TableRevision revision;
  revision.number_ = number->get_int64();
  revision.editId_ = editId->get_string().c_str();
  return revision;
}

std::optional<TableRevision>
FindKnownRevision(CommandContext& aContext)
{
  std::optional<TableRevision> highest;
  for (const SocketAddress& address :
       aContext.GetSettings().GetAddresses("entries")) {
    HttpRequest request;
    request.target_ = "/status";
    const auto response =
      aContext.Run(aContext.GetHttp().Send(address, std::move(request)));
    if (response.has_error()) {
      std::cerr << "azurecross: entry " << address.Format()
                << " does not answer: " << response.error().message_ << "\n";
      continue;
    }
    const auto revision = ParseStatusRevision(response->body_);
    if (revision && (!highest || revision->number_ > highest->number_)) {
      highest = revision;
    }
  }
  return highest;
}

} // namespace azurecross
