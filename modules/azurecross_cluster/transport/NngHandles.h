#pragma once

#include <nng/nng.h>

#include <string_view>
#include <utility>

namespace azurecross {

/** Owns an nng socket with its dialers and listeners. */
class NngSocket
{
public:
  NngSocket() = default;
  ~NngSocket() { Close(); }
  NngSocket(const NngSocket&) = delete;
  NngSocket& operator=(const NngSocket&) = delete;

  /** Opens the socket with one of nng's `nng_..._open` functions. */
  int Open(int (*aOpen)(nng_socket*)) { return aOpen(&socket_); }

  /** Closes it; waiting operations end with an error. */
  void Close()
  {
    if (nng_socket_id(socket_) > 0) {
      nng_close(socket_);
      socket_ = NNG_SOCKET_INITIALIZER;
    }
  }

  nng_socket Get() const { return socket_; }

private:
  nng_socket socket_ = NNG_SOCKET_INITIALIZER;
};

/** Owns an nng message. */
class NngMessage
{
public:
  explicit NngMessage(nng_msg* aMessage = nullptr)
    : message_(aMessage)
  {
  }
  ~NngMessage() { nng_msg_free(message_); }
  NngMessage(NngMessage&& aOther) noexcept
    : message_(aOther.Release())
  {
  }
  NngMessage& operator=(NngMessage&& aOther) noexcept
  {
    std::swap(message_, aOther.message_);
    return *this;
  }

  /** @returns a message with a copy of the bytes; null without memory. */
  static NngMessage Copy(std::string_view aBytes)
  {
    nng_msg* message = nullptr;
    if (nng_msg_alloc(&message, 0) != 0) {
      return NngMessage();
    }
    if (nng_msg_append(message, aBytes.data(), aBytes.size()) != 0) {
      nng_msg_free(message);
      return NngMessage();
    }
    return NngMessage(message);
  }

  std::string_view GetBytes() const
  {
    return { static_cast<const char*>(nng_msg_body(message_)),
             nng_msg_len(message_) };
  }

  explicit operator bool() const { return message_ != nullptr; }

  /** Gives the message up, for calls that take it over. */
  nng_msg* Release() { return std::exchange(message_, nullptr); }

private:
  nng_msg* message_;
};

/** Owns an asynchronous nng operation and its callback. */
class NngOperation
{
public:
  NngOperation() = default;
  ~NngOperation() { nng_aio_free(operation_); }
  NngOperation(const NngOperation&) = delete;
  NngOperation& operator=(const NngOperation&) = delete;

  int Allocate(void (*aCallback)(void*), void* aArgument)
  {
    return nng_aio_alloc(&operation_, aCallback, aArgument);
  }

  /** Ends the operation and waits for its callback. */
  void Stop()
  {
    if (operation_ != nullptr) {
      nng_aio_stop(operation_);
    }
  }

  nng_aio* Get() const { return operation_; }

private:
  nng_aio* operation_ = nullptr;
};

} // namespace azurecross
