#include "Callers.h"

#include <platform/tests/process/BackendStandins.h>
#include <review/common/Deployment.h>

#include <cstdlib>

namespace azurecross::soak {

namespace {

using review::HttpMessage;
using review::Milliseconds;

constexpr Milliseconds kConnectTimeout{ 1000 };
constexpr Milliseconds kReconnectDelay{ 50 };
constexpr int kCallDeadlineMs = 1500;
constexpr int kSlowCallDeadlineMs = 20000;
constexpr int kStreamDeadlineMs = 39000;
/** How long a caller waits beyond its deadline, so that a late end shows. */
constexpr Milliseconds kPatience{ 1000 };
constexpr unsigned kTokensPerEvent = 4;
constexpr unsigned kMaxRequestsPerConnection = 40;

/** A request that is about to be sent. */
struct PreparedRequest
{
  std::string text_;
  int deadlineMs_ = kCallDeadlineMs;
  unsigned events_ = 0;
};

bool
IsStream(RequestKind aKind)
{
  return aKind == RequestKind::LimitedStream ||
         aKind == RequestKind::UnlimitedStream;
}

RequestKind
DrawKind(Random& aRandom)
{
  const std::uint64_t draw = aRandom.DrawBits() % 21;
  if (draw == 20) {
    return RequestKind::UnknownKeyCall;
  }
  if (draw < 7) {
    return RequestKind::IdempotentCall;
  }
  if (draw < 12) {
    return RequestKind::NonIdempotentCall;
  }
  if (draw < 14) {
    return RequestKind::SlowCall;
  }
  return draw < 17 ? RequestKind::LimitedStream : RequestKind::UnlimitedStream;
}

PreparedRequest
Prepare(RequestKind aKind, const std::string& aId, Random& aRandom)
{
  PreparedRequest request;
  std::string path = "/check/1";
  std::string body = "body";
  std::string headers;
  if (IsStream(aKind)) {
    // 0.2 to 8 s at the events' usual pace.
    request.events_ = 5 + aRandom.DrawBits() % 200;
    request.deadlineMs_ = kStreamDeadlineMs;
    path = "/plan/1";
    body = std::to_string(request.events_);
    const bool isLimited = aKind == RequestKind::LimitedStream;
    headers = platform::FormatGenerationHeaders(
      isLimited ? request.events_ * kTokensPerEvent : 0, aRandom.DrawBits());
  } else if (aKind == RequestKind::NonIdempotentCall ||
             aKind == RequestKind::UnknownKeyCall) {
    path = "/book/1";
  } else if (aKind == RequestKind::SlowCall) {
    request.deadlineMs_ = kSlowCallDeadlineMs;
    path = platform::DeskStandin::kSlowPath;
  }
  request.text_ = review::FormatRequest(
    "POST", path, aId, request.deadlineMs_, headers, body);
  if (aKind == RequestKind::UnknownKeyCall) {
    const std::string key = review::kApiKey;
    request.text_.replace(request.text_.find(key), key.size(), "k-never");
  }
  return request;
}

/** @returns the body of a complete stream. */
std::string
FormatEvents(const std::string& aId, unsigned aEvents)
{
  std::string text;
  for (unsigned event = 1; event <= aEvents; ++event) {
    text += "id: " + std::to_string(event) + "\ndata: " + aId + "\n\n";
  }
  return text;
}

bool
IsRightAnswer(const HttpMessage& aAnswer,
              const std::string& aId,
              unsigned aEvents)
{
  return aAnswer.body_ == (aEvents > 0 ? FormatEvents(aId, aEvents) : aId);
}

/** Waits for as long as a refusal asks for. */
void
WaitAsTold(const HttpMessage& aAnswer)
{
  const std::string retryAfter = aAnswer.Find("retry-after");
  if (!retryAfter.empty()) {
    std::this_thread::sleep_for(
      std::chrono::duration<double>(std::atof(retryAfter.c_str())));
  }
}

void
Pause(Random& aRandom)
{
  // One pause in eight lasts up to 6 s, which outlasts most of a shutdown.
  const bool isLong = aRandom.DrawBits() % 8 == 0;
  std::this_thread::sleep_for(
    Milliseconds(aRandom.DrawBits() % (isLong ? 6000 : 200)));
}

} // namespace

Callers::Callers(Fleet& aFleet, unsigned aCount, std::uint64_t aSeed)
  : fleet_(aFleet)
{
  Random random(aSeed);
  threads_.reserve(aCount);
  for (unsigned caller = 0; caller < aCount; ++caller) {
    threads_.emplace_back(
      [this, caller, seed = random.DrawBits()] { Run(caller, seed); });
  }
}

Callers::~Callers()
{
  Finish();
}

std::vector<CallRecord>
Callers::Finish()
{
  isFinished_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
  return records_;
}

void
Callers::Run(unsigned aCaller, std::uint64_t aSeed)
{
  Random random(aSeed);
  unsigned requests = 0;
  while (!isFinished_) {
    UseConnection(aCaller, requests, random);
  }
}

bool
Callers::Send(review::Socket& aSocket,
              const std::string& aText,
              Random& aRandom)
{
  if (aRandom.DrawBits() % 3 != 0) {
    return aSocket.Send(aText);
  }
  const std::size_t first = 1 + aRandom.DrawBits() % (aText.size() - 1);
  if (!aSocket.Send(aText.substr(0, first))) {
    return false;
  }
  std::this_thread::sleep_for(Milliseconds(aRandom.DrawBits() % 50));
  return aSocket.Send(aText.substr(first));
}

void
Callers::UseConnection(unsigned aCaller, unsigned& aRequests, Random& aRandom)
{
  const std::size_t entry = fleet_.ChooseEntry(aRandom.DrawBits());
  review::Socket socket;
  if (!socket.Connect(fleet_.GetEntry(entry).GetProcess().GetFront(),
                      kConnectTimeout)) {
    std::this_thread::sleep_for(kReconnectDelay);
    return;
  }
  review::HttpReader reader(socket);
  for (unsigned use = 0; use < kMaxRequestsPerConnection && !isFinished_;
       ++use) {
    // A caller that sees the close takes another connection.
    if (!socket.IsQuiet()) {
      return;
    }
    CallRecord record;
    record.kind_ = DrawKind(aRandom);
    record.id_ =
      "c" + std::to_string(aCaller) + "-" + std::to_string(++aRequests);
    record.entry_ = entry;
    const PreparedRequest request = Prepare(record.kind_, record.id_, aRandom);
    if (!Send(socket, request.text_, aRandom)) {
      return;
    }
    record.sentAt_ = Clock::now();
    record.deadline_ = record.sentAt_ + Milliseconds(request.deadlineMs_);
    HttpMessage answer;
    const review::ReadResult result =
      reader.Read(answer, Milliseconds(request.deadlineMs_) + kPatience);
    record.endedAt_ = Clock::now();
    record.isWhole_ = result == review::ReadResult::Complete;
    record.status_ = record.isWhole_ ? answer.GetStatus() : 0;
    record.isRight_ = record.status_ == 200 &&
                      IsRightAnswer(answer, record.id_, request.events_);
    {
      const std::lock_guard lock(mutex_);
      records_.push_back(record);
    }
    if (!record.isWhole_ || answer.Find("connection") == "close") {
      WaitAsTold(answer);
      return;
    }
    WaitAsTold(answer);
    Pause(aRandom);
  }
}

} // namespace azurecross::soak
