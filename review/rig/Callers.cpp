#include "Callers.h"

#include <cstdlib>

namespace rig {

namespace {

constexpr Milliseconds kConnectTimeout{ 1000 };
constexpr Milliseconds kDeadline{ 1500 };
/** How long a consumer waits beyond its deadline. */
constexpr Milliseconds kPatience{ 500 };
constexpr Milliseconds kReconnectDelay{ 50 };
/** Consumers honour a delay up to a third of the time that they have. */
constexpr Milliseconds kMaxRetryDelay{ 500 };

std::string
FormatRequest(const Call& aCall)
{
  const std::string body = aCall.isIdempotent_ ? "" : "a booking";
  return std::string(aCall.isIdempotent_ ? "GET /check/1" : "POST /book/1") +
         " HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: " + aCall.id_ +
         "\r\nDeadline-Ms: " + std::to_string(kDeadline.count()) + "\r\n" +
         (aCall.key_.empty() ? "" : "Api-Key: " + aCall.key_ + "\r\n") +
         (aCall.isIdempotent_
            ? ""
            : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
         "\r\n" + body;
}

} // namespace

void
Callers::Add(const Entry& aEntry,
             bool aIsIdempotent,
             Milliseconds aPause,
             const std::string& aKey)
{
  const auto number = static_cast<unsigned>(threads_.size());
  threads_.emplace_back([this, &aEntry, number, aIsIdempotent, aPause, aKey] {
    Run(aEntry, number, aIsIdempotent, aPause, aKey);
  });
}

std::vector<Call>
Callers::Finish()
{
  isFinished_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
  return calls_;
}

void
Callers::Run(const Entry& aEntry,
             unsigned aNumber,
             bool aIsIdempotent,
             Milliseconds aPause,
             const std::string& aKey)
{
  Socket socket;
  HttpReader reader(socket);
  unsigned count = 0;
  while (!isFinished_) {
    if (socket.IsOpen() && !socket.IsQuiet()) {
      socket.Close();
    }
    if (!socket.IsOpen()) {
      reader.Reset();
      if (!socket.Connect(aEntry.GetFront(), kConnectTimeout)) {
        std::this_thread::sleep_for(kReconnectDelay);
        continue;
      }
    }
    Call call;
    call.id_ = "c" + std::to_string(aNumber) + "-" + std::to_string(++count);
    call.entry_ = aEntry.GetName();
    call.key_ = aKey;
    call.isIdempotent_ = aIsIdempotent;
    call.sentAt_ = Clock::now();
    HttpMessage answer;
    const bool isAnswered = socket.Send(FormatRequest(call)) &&
                            reader.Read(answer, kDeadline + kPatience);
    call.endedAt_ = Clock::now();
    call.status_ = isAnswered ? answer.GetStatus() : 0;
    record_.WriteAt(call.sentAt_,
                    "sent " + call.id_ + (aIsIdempotent ? " check" : " book") +
                      " to " + call.entry_ +
                      (aKey.empty() ? "" : " key=" + aKey) + ", answered at " +
                      record_.FormatTime(call.endedAt_) + " with " +
                      std::to_string(call.status_));
    {
      const std::lock_guard lock(mutex_);
      calls_.push_back(call);
    }
    if (!isAnswered || answer.Find("connection") == "close") {
      socket.Close();
    }
    const std::string retryAfter = answer.Find("retry-after");
    if (!retryAfter.empty()) {
      constexpr double kMillisecondsPerSecond = 1000.0;
      const Milliseconds delay(static_cast<Milliseconds::rep>(
        std::atof(retryAfter.c_str()) * kMillisecondsPerSecond));
      std::this_thread::sleep_for(std::min(delay, kMaxRetryDelay));
    }
    std::this_thread::sleep_for(aPause);
  }
}

} // namespace rig
