#pragma once

#include <boost/leaf.hpp>

#include <string>

namespace sardinespoke {

namespace leaf = boost::leaf;

/// Failure of a call to the platform's key-value service, host list or host control.
struct StoreError
{
  enum class Code
  {
    Unreachable,    ///< The request was not sent or not accepted; it had no effect.
    OutcomeUnknown, ///< Sent, but no usable response arrived; a write may have taken effect.
    Conflict,       ///< The compare-and-swap failed, or the key does not exist.
    NotFound,
    TooLarge,     ///< The value is above the service's limit of 1 MB.
    SequenceLost, ///< The service no longer has the watch position; read the range again.
    LeaseLapsed,
    Malformed, ///< The response could not be parsed.
    Count
  };
  Code code_ = Code::Unreachable;
  std::string message_;
};

/// Failure of a call to another entry host.
struct PeerError
{
  enum class Code
  {
    Unreachable, ///< The message was not sent.
    Timeout,     ///< Sent, but no reply came; the peer may have processed the message.
    Malformed,
    Refused, ///< The peer replied that it does not accept the message.
    Count
  };
  Code code_ = Code::Unreachable;
  std::string message_;
};

/// Failure of one attempt at a backend server.
struct BackendError
{
  enum class Code
  {
    NotSent,      ///< No byte of the request reached the backend server.
    SlotsRefused, ///< The backend server had no free slot and did not run the request.
    Incomplete,   ///< No complete, well-formed response; the request may have run.
    Timeout,      ///< No complete response in time; the backend server may still be running it.
    TooLarge,     ///< The response exceeds the size limit.
    Stale,        ///< The view of the fleet expired before the first byte was sent.
    Count
  };
  Code code_ = Code::NotSent;
  std::string message_;
};

/// A document, settings file or edit that was rejected.
struct ConfigError
{
  enum class Code
  {
    NotJson,
    Schema,   ///< Unknown key, or wrong type or unit.
    Semantic, ///< Valid against the schema, but contradictory or above an entitlement.
    Conflict, ///< Another change was accepted first.
    OutcomeUnknown,
    StoreDown,
    NotFound,
    Count
  };
  Code code_ = Code::NotJson;
  std::string path_;    ///< JSON pointer to the field, such as /profiles/births/urgency.
  std::string message_; ///< States what was found and what was expected.
};

/// A request that was refused before a backend server was chosen; it did not run.
struct AdmissionError
{
  enum class Code
  {
    UnknownService,
    QueueFull,
    DeadlineUnreachable, ///< The request cannot start before its deadline.
    NoView,              ///< This entry host cannot confirm its view of the fleet.
    Stopping,
    NoBackend, ///< The pool has no usable backend server.
    Cancelled,
    Count
  };
  Code code_ = Code::UnknownService;
  std::string message_;
};

/// Failure of a planner operation.
struct PlannerError
{
  enum class Code
  {
    NotHolder, ///< This daemon does not hold the planner lease.
    Conflict,
    StoreDown,
    BudgetExhausted,
    UnknownHost,
    InvalidTransition,
    OutcomeUnknown, ///< The write may have taken effect, and reading the document back failed.
    Count
  };
  Code code_ = Code::NotHolder;
  std::string message_;
};

/// @returns The name of an error code in logs and JSON bodies: lower case, separated by dashes.
const char*
CodeName(StoreError::Code aCode);
const char*
CodeName(PeerError::Code aCode);
const char*
CodeName(BackendError::Code aCode);
const char*
CodeName(ConfigError::Code aCode);
const char*
CodeName(AdmissionError::Code aCode);
const char*
CodeName(PlannerError::Code aCode);

}
