#include "PeerFrame.h"

#include <boost/endian/conversion.hpp>

namespace azurecross {

void
AppendPeerFrame(std::string_view aMessage, std::string& aBuffer)
{
  PeerFrameHeader header;
  boost::endian::store_big_u32(header.data(),
                               static_cast<std::uint32_t>(aMessage.size()));
  aBuffer.append(header.begin(), header.end());
  aBuffer.append(aMessage);
}

std::uint32_t
ReadPeerFrameLength(const PeerFrameHeader& aHeader)
{
  return boost::endian::load_big_u32(aHeader.data());
}

} // namespace azurecross
