#pragma once

#include "../messages/Envelope.h"

#include <azurecross_core/azurecross_core.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace azurecross {

/** Which entries receive a record. */
enum class GossipScope
{
  /** The entries of the origin's own zone. */
  Zone,
  AllZones,
};

/**
 * The records of all origins, in streams: one stream for each process of an
 * origin and each scope, with one version counter. `completeTo_` is the version
 * up to which no record of the stream is missing here, so that two stores find
 * out what to exchange by comparing one number for each stream.
 */
class RecordStore
{
public:
  struct Stored
  {
    wire::GossipRecord record_;
    /** When the record was published, on this entry's clock. */
    Time published_;
  };

  /** Names a stream. */
  struct StreamId
  {
    EntryId origin_;
    AvailabilityZone zone_;
    /** Incarnation of the origin at the start of its process. */
    Incarnation start_;
    GossipScope scope_ = GossipScope::Zone;

    std::uint64_t Hash() const;
  };

  struct Stream
  {
    StreamId id_;
    std::uint64_t completeTo_ = 0;
    std::map<std::string, Stored> records_;
    /** When the last record was dropped. */
    std::optional<Time> emptySince_;
  };

  /** By the hash of the stream's id. */
  using Streams = std::map<std::uint64_t, Stream>;

  /** Streams without records are kept this long, for their version. */
  static constexpr Duration kKeepEmpty = std::chrono::minutes(2);

  const Streams& GetStreams() const { return streams_; }

  /** @returns the stream, which is created if it is unknown. */
  Stream& Ensure(const StreamId& aId);

  const Stream* Find(std::uint64_t aHash) const;

  /** Takes over newer records. @returns those that were new here. */
  std::vector<wire::GossipRecord> Merge(const wire::StreamDelta& aDelta,
                                        Time aNow);

  /**
   * Builds the records of a stream after a version, in order of version.
   *
   * @returns the bytes used, which are about `aMostBytes` at most; the delta
   * says how far it is complete.
   */
  std::size_t BuildDelta(const Stream& aStream,
                         std::uint64_t aAfter,
                         std::size_t aMostBytes,
                         Time aNow,
                         wire::StreamDelta& aDelta) const;

  /** Drops records whose lifetime has ended, and streams long empty. */
  void DropExpired(Time aNow);

  /**
   * Drops what a dead origin has published, except its leaving notices: they
   * stay true without it and end with their lifetime.
   */
  void DropOrigin(const EntryId& aOrigin);

  /**
   * Removes the records of a stream. @returns them with the lifetime that is
   * left, to be published again.
   */
  std::vector<wire::GossipRecord> TakeRecords(const StreamId& aId, Time aNow);

  std::size_t CountRecords() const;

private:
  Streams streams_;
};

} // namespace azurecross
