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
    Unreachable,    ///< The request was not sent. It had no effect.
    OutcomeUnknown, ///< Sent, but no answer arrived. A write may have taken effect.
    Conflict,       ///< The compare-and-swap lost, or the key does not exist.
    NotFound,
    TooLarge,     ///< The value is above the service's limit of 1 MB.
    SequenceLost, ///< The watch position is unknown to the service; read the range again.
    LeaseLapsed,
    Malformed, ///< The answer could not be parsed.
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
    Unreachable,
    Timeout, ///< No answer in time. The peer may have processed the message.
    Malformed,
    Refused, ///< The peer answered that it does not accept the message.
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
    SlotsRefused, ///< The backend server answered that it has no free slot and did not run it.
    Incomplete,   ///< The connection ended before the whole answer arrived.
    Timeout,      ///< No whole answer in time; the backend server may still be running it.
    TooLarge,     ///< The answer is above the limit.
    Stale,        ///< The view lapsed before the first byte was sent.
    Count
  };
  Code code_ = Code::NotSent;
  std::string message_;
};

/// A document, a settings file or an edit that is not acceptable.
struct ConfigError
{
  enum class Code
  {
    NotJson,
    Schema,   ///< An unknown key, a wrong type or unit.
    Semantic, ///< Well-formed, but contradictory or above an entitlement.
    Conflict, ///< Another change was accepted first.
    OutcomeUnknown,
    StoreDown,
    NotFound,
    Count
  };
  Code code_ = Code::NotJson;
  std::string path_; ///< Path of the field within the document, such as /profiles/births/urgency.
  std::string message_; ///< What was found and what was expected.
};

/// A request that was refused before any backend server was chosen. It was not run.
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

/// Failure of a step of the planner duty.
struct PlannerError
{
  enum class Code
  {
    NotHolder, ///< This daemon does not hold the planner duty.
    Conflict,
    StoreDown,
    BudgetExhausted,
    UnknownHost,
    InvalidTransition,
    OutcomeUnknown, ///< The write may have taken effect; the document could not be read back.
    Count
  };
  Code code_ = Code::NotHolder;
  std::string message_;
};

/// @returns The name of an error code as used in logs and JSON bodies, in lower-case with dashes.
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
