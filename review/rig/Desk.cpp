#include "Desk.h"

namespace rig {

namespace {

constexpr Milliseconds kIdleTime{ 60000 };
/** A fixed start, as all processes of a stand-in start once. */
constexpr const char* kBorn = "1796000000000";
constexpr unsigned kSlots = 6;

} // namespace

Desk::Desk(std::string aId,
           std::string aZone,
           const std::string& aHost,
           Milliseconds aWorkTime,
           Record& aRecord)
  : id_(std::move(aId))
  , zone_(std::move(aZone))
  , workTime_(aWorkTime)
  , record_(aRecord)
{
  listener_ = std::make_unique<Listener>(
    aHost, [this](Socket& aSocket) { Serve(aSocket); });
}

std::string
Desk::FormatRegistration(const std::string& aState, unsigned aSequence) const
{
  return R"({"service":"desk","address":")" +
         listener_->GetEndpoint().Format() + R"(","zone":")" + zone_ +
         R"(","version":"v1","slots":)" + std::to_string(kSlots) +
         R"(,"state":")" + aState + R"(","coldLeftMs":0,"sequence":)" +
         std::to_string(aSequence) + R"(,"born":)" + kBorn + "}";
}

std::vector<Run>
Desk::GetRuns() const
{
  const std::lock_guard lock(mutex_);
  return runs_;
}

void
Desk::Exit()
{
  {
    const std::lock_guard lock(mutex_);
    hasExited_ = true;
  }
  record_.Write(id_ + " exits");
  listener_->Stop();
}

void
Desk::Serve(Socket& aSocket)
{
  HttpReader reader(aSocket);
  HttpMessage request;
  while (reader.Read(request, kIdleTime) && Answer(aSocket, request)) {
  }
}

bool
Desk::Answer(Socket& aSocket, const HttpMessage& aRequest)
{
  if (aRequest.GetSecondWord() == "/healthz") {
    return aSocket.Send(FormatResponse(200, "Replica-Id: " + id_ + "\r\n", ""));
  }
  const std::string request = aRequest.Find("attempt-id");
  const std::string headers = "Attempt-Id: " + request +
                              "\r\nReplica-Seal: " + id_ + "." + request +
                              "\r\nContent-Type: text/plain\r\n";
  const std::string expected = aRequest.Find("expect-replica");
  if (!expected.empty() && expected != id_) {
    return aSocket.Send(
      FormatResponse(421, headers + "Not-Executed: 1\r\n", ""));
  }
  std::size_t run = 0;
  {
    const std::lock_guard lock(mutex_);
    run = runs_.size();
    runs_.push_back({ request, Clock::now(), false });
  }
  record_.Write(id_ + " runs " + request +
                " tenant=" + aRequest.Find("tenant"));
  std::this_thread::sleep_for(workTime_);
  const std::lock_guard lock(mutex_);
  if (hasExited_) {
    return false;
  }
  runs_[run].isAnswered_ =
    aSocket.Send(FormatResponse(200, headers, request + " done by " + id_));
  return runs_[run].isAnswered_;
}

} // namespace rig
