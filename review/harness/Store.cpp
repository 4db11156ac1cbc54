#include "Store.h"

#include <algorithm>
#include <cstdlib>

#include <boost/json.hpp>

namespace azurecross::harness {

namespace {

namespace json = boost::json;

constexpr std::size_t kPageItems = 500;
constexpr Milliseconds kAnswerTime{ 4 };
constexpr Milliseconds kIdleTime{ 60000 };

std::string
EncodeBase64(const std::string& aText)
{
  static const std::string kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string encoded;
  for (std::size_t at = 0; at < aText.size(); at += 3) {
    unsigned group = 0;
    for (std::size_t byte = 0; byte < 3; ++byte) {
      group <<= 8U;
      if (at + byte < aText.size()) {
        group |= static_cast<unsigned char>(aText[at + byte]);
      }
    }
    for (std::size_t digit = 0; digit < 4; ++digit) {
      const bool isPadding = at + digit > aText.size();
      encoded +=
        isPadding ? '=' : kDigits[(group >> (18U - 6U * digit)) & 0x3fU];
    }
  }
  return encoded;
}

std::uint64_t
ToNumber(const std::string& aText)
{
  return std::strtoull(aText.c_str(), nullptr, 10);
}

} // namespace

Store::Store(const std::string& aIp)
  : listener_(aIp, [this](Connection& aConnection) { Serve(aConnection); })
{
}

Store::~Store()
{
  {
    const std::lock_guard lock(mutex_);
    isStopping_ = true;
  }
  changed_.notify_all();
}

void
Store::MakeCopy()
{
  const std::lock_guard lock(mutex_);
  copy_ = now_;
}

void
Store::RestoreCopy(Milliseconds aAway)
{
  {
    const std::lock_guard lock(mutex_);
    isAway_ = true;
  }
  changed_.notify_all();
  listener_.Close();
  std::this_thread::sleep_for(aAway);
  {
    const std::lock_guard lock(mutex_);
    now_ = copy_;
    ++era_;
    isAway_ = false;
  }
  listener_.Open();
}

std::string
Store::Format(const json::object& aObject, int aStatus) const
{
  return FormatResponse(aStatus,
                        "Content-Type: application/json\r\nStore-Era: " +
                          std::to_string(era_) + "\r\n",
                        json::serialize(aObject));
}

void
Store::Put(const std::string& aKey, const std::string& aText)
{
  const std::lock_guard lock(mutex_);
  if (!isAway_) {
    Write(aKey, EncodeBase64(aText), 0);
  }
}

void
Store::Remove(const std::string& aKey)
{
  const std::lock_guard lock(mutex_);
  if (!isAway_) {
    Erase(aKey);
  }
}

bool
Store::Contains(const std::string& aKey)
{
  const std::lock_guard lock(mutex_);
  return now_.items_.contains(aKey);
}

void
Store::Write(const std::string& aKey,
             const std::string& aValue,
             std::uint64_t aLease)
{
  Item& item = now_.items_[aKey];
  item.revision_ = ++now_.revision_;
  item.created_ = item.created_ == 0 ? now_.revision_ : item.created_;
  item.value_ = aValue;
  item.lease_ = aLease;
  now_.events_.push_back({ aKey, now_.revision_, item });
  changed_.notify_all();
}

void
Store::Erase(const std::string& aKey)
{
  if (now_.items_.erase(aKey) > 0) {
    now_.events_.push_back({ aKey, ++now_.revision_, std::nullopt });
    changed_.notify_all();
  }
}

void
Store::ExpireLeases()
{
  const Clock::time_point now = Clock::now();
  std::vector<std::string> expired;
  for (const auto& [key, item] : now_.items_) {
    const auto lease = now_.leases_.find(item.lease_);
    if (item.lease_ != 0 &&
        (lease == now_.leases_.end() || lease->second.end_ < now)) {
      expired.push_back(key);
    }
  }
  std::erase_if(now_.leases_,
                [&](const auto& aLease) { return aLease.second.end_ < now; });
  for (const std::string& key : expired) {
    Erase(key);
  }
}

void
Store::Serve(Connection& aConnection)
{
  Message request;
  while (aConnection.Read(request, kIdleTime)) {
    std::this_thread::sleep_for(kAnswerTime);
    if (!aConnection.Send(Answer(request))) {
      return;
    }
  }
}

std::string
Store::Answer(const Message& aRequest)
{
  {
    const std::lock_guard lock(mutex_);
    ExpireLeases();
  }
  const std::string path = aRequest.GetPath();
  const std::string number = path.substr(path.rfind('/') + 1);
  if (path == "/v1/kv-key") {
    return ReadKey(aRequest);
  }
  if (path == "/v1/kv-range") {
    return ReadRange(aRequest);
  }
  if (path == "/v1/kv-watch") {
    return Watch(aRequest);
  }
  if (path == "/v1/kv-txn") {
    return Transact(aRequest);
  }
  if (path == "/v1/kv-lease") {
    return Grant(aRequest);
  }
  if (path.starts_with("/v1/kv-keep/")) {
    return Renew(ToNumber(number), false);
  }
  if (path.starts_with("/v1/kv-lease-end/")) {
    return Renew(ToNumber(number), true);
  }
  const std::lock_guard lock(mutex_);
  return Format({}, 400);
}

std::string
Store::ReadKey(const Message& aRequest)
{
  const std::string key = aRequest.FindQuery("key");
  const std::lock_guard lock(mutex_);
  const auto found = now_.items_.find(key);
  if (found == now_.items_.end()) {
    return Format({ { "currentRev", now_.revision_ } }, 404);
  }
  const Item& item = found->second;
  return Format({ { "key", key },
                  { "value", item.value_ },
                  { "rev", item.revision_ },
                  { "created", item.created_ },
                  { "lease", item.lease_ },
                  { "currentRev", now_.revision_ } });
}

std::string
Store::ReadRange(const Message& aRequest)
{
  const std::string prefix = aRequest.FindQuery("prefix");
  const std::string after = aRequest.FindQuery("after");
  const std::lock_guard lock(mutex_);
  json::array items;
  bool hasMore = false;
  for (const auto& [key, item] : now_.items_) {
    if (!key.starts_with(prefix) || (!after.empty() && key <= after)) {
      continue;
    }
    if (items.size() == kPageItems) {
      hasMore = true;
      break;
    }
    items.push_back(json::object{ { "key", key },
                                  { "value", item.value_ },
                                  { "rev", item.revision_ },
                                  { "created", item.created_ },
                                  { "lease", item.lease_ } });
  }
  return Format({ { "items", std::move(items) },
                  { "hasMore", hasMore },
                  { "currentRev", now_.revision_ } });
}

std::string
Store::Watch(const Message& aRequest)
{
  const std::string prefix = aRequest.FindQuery("prefix");
  const std::uint64_t after = ToNumber(aRequest.FindQuery("after"));
  const Clock::time_point deadline =
    Clock::now() + Milliseconds(ToNumber(aRequest.FindQuery("waitMs")));
  std::unique_lock lock(mutex_);
  if (after > now_.revision_) {
    return Format({}, 410);
  }
  json::array events;
  for (;;) {
    for (const Event& event : now_.events_) {
      if (event.revision_ <= after || !event.key_.starts_with(prefix)) {
        continue;
      }
      json::object entry{ { "key", event.key_ }, { "rev", event.revision_ } };
      if (event.item_) {
        entry["value"] = event.item_->value_;
        entry["created"] = event.item_->created_;
        entry["lease"] = event.item_->lease_;
      } else {
        entry["tombstone"] = true;
      }
      events.push_back(std::move(entry));
    }
    if (!events.empty() || isStopping_ || isAway_ || Clock::now() >= deadline) {
      break;
    }
    changed_.wait_until(lock, deadline);
  }
  return Format(
    { { "events", std::move(events) }, { "currentRev", now_.revision_ } });
}

std::string
Store::Transact(const Message& aRequest)
{
  const json::value body = json::parse(aRequest.body_);
  const std::lock_guard lock(mutex_);
  json::array failed;
  for (const json::value& row : body.at("expectRev").as_array()) {
    const std::string key(row.at("key").as_string());
    const auto found = now_.items_.find(key);
    const std::uint64_t revision =
      found == now_.items_.end() ? 0 : found->second.revision_;
    if (row.at("rev").to_number<std::uint64_t>() != revision) {
      failed.push_back(json::object{ { "key", key }, { "rev", revision } });
    }
  }
  if (!failed.empty()) {
    return Format({ { "items", std::move(failed) } }, 412);
  }
  for (const json::value& put : body.at("puts").as_array()) {
    const std::string key(put.at("key").as_string());
    const auto lease = put.at("lease").to_number<std::uint64_t>();
    if (key.starts_with("op/") || key.starts_with("servers/")) {
      return Format({}, 403);
    }
    if (lease != 0 && !now_.leases_.contains(lease)) {
      return Format({}, 404);
    }
    Write(key, std::string(put.at("value").as_string()), lease);
  }
  for (const json::value& key : body.at("remove").as_array()) {
    Erase(std::string(key.as_string()));
  }
  return Format({ { "rev", now_.revision_ } });
}

std::string
Store::Grant(const Message& aRequest)
{
  const json::value body = json::parse(aRequest.body_);
  const Milliseconds lifetime(body.at("ttlMs").to_number<std::int64_t>());
  const std::lock_guard lock(mutex_);
  const std::uint64_t id = now_.nextLease_++;
  now_.leases_[id] = { lifetime, Clock::now() + lifetime };
  return Format({ { "lease", id }, { "ttlMs", lifetime.count() } });
}

std::string
Store::Renew(std::uint64_t aLease, bool aEnds)
{
  const std::lock_guard lock(mutex_);
  const auto found = now_.leases_.find(aLease);
  if (found == now_.leases_.end()) {
    return Format({}, 404);
  }
  const Milliseconds lifetime = found->second.lifetime_;
  found->second.end_ = Clock::now() + (aEnds ? Milliseconds(-1) : lifetime);
  ExpireLeases();
  return Format({ { "ttlMs", lifetime.count() } });
}

} // namespace azurecross::harness
