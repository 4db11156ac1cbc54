#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/container/small_vector.hpp>
#include <boost/optional/optional.hpp>
#include <boost/system/error_code.hpp>

#include <cstdint>
#include <string_view>

namespace azurecross {

/** Pieces of a body as they lie in the read buffer. */
using BodyPieces = boost::container::small_vector<std::string_view, 8>;

/**
 * A Beast body that keeps no bytes: the parser takes the framing off and the
 * body's value lists where the pieces lie in the buffer it was given.
 */
struct BodyViews
{
  using value_type = BodyPieces;

  /** The names are those of Beast's BodyReader concept. */
  class reader // NOLINT
  {
  public:
    template<bool isRequest, class Fields>
    reader(boost::beast::http::header<isRequest, Fields>&, value_type& aPieces)
      : pieces_(aPieces)
    {
    }

    void init( // NOLINT
      const boost::optional<std::uint64_t>&,
      boost::system::error_code& aCode)
    {
      aCode = {};
    }

    template<class Buffers>
    std::size_t put( // NOLINT
      const Buffers& aBuffers,
      boost::system::error_code& aCode)
    {
      aCode = {};
      std::size_t total = 0;
      for (auto at = boost::asio::buffer_sequence_begin(aBuffers);
           at != boost::asio::buffer_sequence_end(aBuffers);
           ++at) {
        const boost::asio::const_buffer buffer(*at);
        pieces_.emplace_back(static_cast<const char*>(buffer.data()),
                             buffer.size());
        total += buffer.size();
      }
      return total;
    }

    void finish(boost::system::error_code& aCode) // NOLINT
    {
      aCode = {};
    }

  private:
    value_type& pieces_;
  };
};

} // namespace azurecross
