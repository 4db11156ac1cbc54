#pragma once

#include "Record.h"

#include <memory>
#include <set>
#include <vector>

namespace rig {

/** One request that a replica began to work on. */
struct Run
{
  std::string request_;
  Clock::time_point begin_;
  bool isAnswered_ = false;
};

/** Stand-in of a replica of a plain service. It works on each request for the
 * same time and answers as the page PROTOCOL describes it. */
class Desk
{
public:
  Desk(std::string aId,
       std::string aZone,
       const std::string& aHost,
       Milliseconds aWorkTime,
       Record& aRecord);

  const std::string& GetId() const { return id_; }
  /** @returns the registration in the given state.
   * @param aSequence counts the check-ins. */
  std::string FormatRegistration(const std::string& aState,
                                 unsigned aSequence) const;
  std::vector<Run> GetRuns() const;
  /** Ends the process: its connections break off, new ones are refused. */
  void Exit();

private:
  void Serve(Socket& aSocket);
  /** @returns whether the connection stays open. */
  bool Answer(Socket& aSocket, const HttpMessage& aRequest);

  std::string id_;
  std::string zone_;
  Milliseconds workTime_;
  Record& record_;
  mutable std::mutex mutex_;
  std::vector<Run> runs_;
  bool hasExited_ = false;
  std::unique_ptr<Listener> listener_;
};

} // namespace rig
