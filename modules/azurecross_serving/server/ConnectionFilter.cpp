#include "ConnectionFilter.h"

#include <array>
#include <cstdint>

#include <linux/filter.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace azurecross {

bool
IgnoreConnectionRequests(int aListener)
{
  // The packet begins with the header of TCP.
  constexpr std::uint32_t kFlagsOffset = 13;
  constexpr std::uint32_t kWholePacket = 0xffffffff;
  std::array<sock_filter, 4> code = {
    sock_filter BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kFlagsOffset),
    sock_filter BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, TH_SYN, 0, 1),
    sock_filter BPF_STMT(BPF_RET | BPF_K, 0),
    sock_filter BPF_STMT(BPF_RET | BPF_K, kWholePacket)
  };
  const sock_fprog program{ static_cast<unsigned short>(code.size()),
                            code.data() };
  return setsockopt(aListener,
                    SOL_SOCKET,
                    SO_ATTACH_FILTER,
                    &program,
                    sizeof(program)) == 0;
}

} // namespace azurecross
