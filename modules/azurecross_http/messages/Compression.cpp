#include "Compression.h"

#include <boost/beast/zlib.hpp>

#include <algorithm>

namespace azurecross {

namespace zlib = boost::beast::zlib;

namespace {

/** The fastest level; higher ones cost more processor time than they save on
 * the link. */
constexpr int kCompressionLevel = 1;
constexpr int kWindowBits = 15;
constexpr int kMemoryLevel = 8;
/** Output is produced in pieces of this size. */
constexpr std::size_t kPieceBytes = 16384;

} // namespace

std::string
CompressText(std::string_view aText)
{
  zlib::deflate_stream stream;
  stream.reset(
    kCompressionLevel, kWindowBits, kMemoryLevel, zlib::Strategy::normal);
  std::string output(stream.upper_bound(aText.size()), '\0');
  zlib::z_params params;
  params.next_in = aText.data();
  params.avail_in = aText.size();
  params.next_out = output.data();
  params.avail_out = output.size();
  boost::system::error_code code;
  // The output is large enough for the whole stream, so one call writes it.
  stream.write(params, zlib::Flush::finish, code);
  output.resize(params.total_out);
  return output;
}

std::optional<std::string>
DecompressText(std::string_view aStream, std::size_t aLimitBytes)
{
  zlib::inflate_stream stream;
  std::string output;
  zlib::z_params params;
  params.next_in = aStream.data();
  params.avail_in = aStream.size();
  boost::system::error_code code;
  while (!code && output.size() < aLimitBytes) {
    const std::size_t done = output.size();
    output.resize(std::min(done + kPieceBytes, aLimitBytes));
    params.next_out = output.data() + done;
    params.avail_out = output.size() - done;
    stream.write(params, zlib::Flush::sync, code);
    output.resize(params.total_out);
  }
  if (code != zlib::error::end_of_stream) {
    return std::nullopt;
  }
  return output;
}

} // namespace azurecross
