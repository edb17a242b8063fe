#include "runtime/peers/ForwardFrames.h"

#include <utility>

namespace bergamotstage::runtime {
namespace {

void writeSession(const ForwardedSession &Session,
                  wire::peer::ForwardStatement &Out) {
  Out.set_account(Session.Account.value());
  Out.set_key_id(Session.KeyId);
  Out.set_key_digest(Session.KeyDigest);
  Out.set_route(Session.Route.value());
  Out.set_token(Session.Token);
  if (Session.MaxAge)
    Out.set_max_age_us(Session.MaxAge->count());
  Out.set_request_id(Session.RequestId);
  Out.set_idempotent(Session.Idempotent);
  Out.set_explain(Session.Explain);
  Out.set_in_transaction(Session.InTransaction);
}

void writeBody(const StatementBody &Body, wire::peer::ForwardStatement &Out) {
  Out.set_text(Body.Text);
  Out.set_extended(Body.Extended);
  for (std::uint32_t Type : Body.ParameterTypes)
    Out.add_parameter_types(Type);
  for (std::int16_t Format : Body.ParameterFormats)
    Out.add_parameter_formats(Format);
  for (const auto &Value : Body.Values) {
    auto *Encoded = Out.add_values();
    if (Value)
      Encoded->set_bytes(*Value);
  }
  Out.set_result_format(Body.ResultFormat);
  Out.set_want_columns(Body.WantColumns);
  Out.set_describe_only(Body.DescribeOnly);
}

ForwardedSession readSession(const wire::peer::ForwardStatement &Message) {
  ForwardedSession Session;
  Session.Account = AccountId(Message.account());
  Session.KeyId = Message.key_id();
  Session.KeyDigest = Message.key_digest();
  Session.Route = RouteId(Message.route());
  Session.Token = Message.token();
  if (Message.has_max_age_us())
    Session.MaxAge = Duration(Message.max_age_us());
  Session.RequestId = Message.request_id();
  Session.Idempotent = Message.idempotent();
  Session.Explain = Message.explain();
  Session.InTransaction = Message.in_transaction();
  return Session;
}

SharedBody readBody(const wire::peer::ForwardStatement &Message) {
  auto Body = std::make_shared<StatementBody>();
  Body->Text = Message.text();
  Body->Extended = Message.extended();
  for (std::uint32_t Type : Message.parameter_types())
    Body->ParameterTypes.push_back(Type);
  for (std::int32_t Format : Message.parameter_formats())
    Body->ParameterFormats.push_back(static_cast<std::int16_t>(Format));
  for (const auto &Value : Message.values()) {
    std::optional<std::string> Read;
    if (Value.has_bytes())
      Read = Value.bytes();
    Body->Values.push_back(std::move(Read));
  }
  Body->ResultFormat = static_cast<std::int16_t>(Message.result_format());
  Body->WantColumns = Message.want_columns();
  Body->DescribeOnly = Message.describe_only();
  return Body;
}

void writeRefusal(const Refusal &Reason, wire::peer::ForwardRefusal &Out) {
  Out.set_sql_state(Reason.SqlState);
  Out.set_state(static_cast<std::uint32_t>(Reason.State));
  Out.set_message(Reason.Message);
  Out.set_rule_line(Reason.Rule.Line);
  Out.set_rule_author(Reason.Rule.Author);
  if (Reason.RetryAfter)
    Out.set_retry_after_us(Reason.RetryAfter->count());
  Out.set_close_connection(Reason.CloseConnection);
}

Refusal readRefusal(const wire::peer::ForwardRefusal &Message) {
  Refusal Reason;
  Reason.SqlState = Message.sql_state();
  // An unknown state must not be interpreted as "not run".
  Reason.State = RunState::Unknown;
  if (Message.state() <= static_cast<std::uint32_t>(RunState::Unknown))
    Reason.State = static_cast<RunState>(Message.state());
  Reason.Message = Message.message();
  Reason.Rule = {Message.rule_line(), Message.rule_author()};
  if (Message.has_retry_after_us())
    Reason.RetryAfter = Duration(Message.retry_after_us());
  Reason.CloseConnection = Message.close_connection();
  return Reason;
}

} // namespace

ForwardFrame statementFrame(std::uint64_t Id, const ForwardStatement &Request,
                            std::uint64_t Transaction) {
  ForwardFrame Frame;
  Frame.set_id(Id);
  auto &Message = *Frame.mutable_statement();
  Message.set_caller(Request.Caller.value());
  Message.set_transaction(Transaction);
  Message.set_time_left_us(Request.TimeLeft.count());
  writeSession(Request.Session, Message);
  writeBody(*Request.Body, Message);
  return Frame;
}

ForwardReceived readStatement(const wire::peer::ForwardStatement &Message) {
  ForwardReceived Arrived;
  Arrived.Session = readSession(Message);
  Arrived.Body = readBody(Message);
  Arrived.TimeLeft = Duration(Message.time_left_us());
  return Arrived;
}

ForwardFrame answerFrame(std::uint64_t Id, const AnswerStatement &Answer,
                         std::string Token, std::uint64_t Transaction) {
  ForwardFrame Frame;
  Frame.set_id(Id);
  auto &Message = *Frame.mutable_answer();
  if (Answer.Error)
    writeRefusal(*Answer.Error, *Message.mutable_error());
  Message.set_tag(Answer.Tag);
  Message.set_notice(Answer.Notice);
  Message.set_on_replica(Answer.OnReplica);
  Message.set_token(std::move(Token));
  Message.set_in_transaction(Answer.InTransaction);
  Message.set_transaction_failed(Answer.TransactionFailed);
  Message.set_transaction(Transaction);
  return Frame;
}

ForwardAnswered readAnswer(const wire::peer::ForwardAnswer &Message) {
  ForwardAnswered Answered;
  if (Message.has_error())
    Answered.Error = readRefusal(Message.error());
  Answered.Tag = Message.tag();
  Answered.Notice = Message.notice();
  Answered.OnReplica = Message.on_replica();
  Answered.Token = Message.token();
  Answered.InTransaction = Message.in_transaction();
  Answered.TransactionFailed = Message.transaction_failed();
  return Answered;
}

ForwardFrame rowsFrame(std::uint64_t Id, std::string Bytes) {
  ForwardFrame Frame;
  Frame.set_id(Id);
  Frame.mutable_rows()->set_bytes(std::move(Bytes));
  return Frame;
}

ForwardFrame creditFrame(std::uint64_t Id, std::size_t Bytes) {
  ForwardFrame Frame;
  Frame.set_id(Id);
  Frame.mutable_credit()->set_bytes(Bytes);
  return Frame;
}

ForwardFrame closeFrame(CallerId Caller) {
  ForwardFrame Frame;
  Frame.mutable_close()->set_caller(Caller.value());
  return Frame;
}

} // namespace bergamotstage::runtime
