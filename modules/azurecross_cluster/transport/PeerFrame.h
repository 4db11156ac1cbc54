#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace azurecross {

/** Bytes in front of each message: its length, most significant byte first. */
inline constexpr std::size_t kPeerFrameHeaderBytes = 4;

using PeerFrameHeader = std::array<unsigned char, kPeerFrameHeaderBytes>;

/** Appends a message with its length to a buffer. */
void
AppendPeerFrame(std::string_view aMessage, std::string& aBuffer);

/** @returns the length in a header; it can be longer than is allowed. */
std::uint32_t
ReadPeerFrameLength(const PeerFrameHeader& aHeader);

} // namespace azurecross
