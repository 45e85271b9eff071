/* Messages between entries. Regenerate with `make wire`; the result is committed. */

namespace py wire

struct MemberState {
  1: string entry_id
  2: i64 incarnation
  3: i32 refutation
  4: i32 status
  5: string data_center
  6: string host
  7: i32 caller_port
  8: i32 peer_port
}

struct ServiceLoad {
  1: string service_name
  2: i32 free_slots
  3: i32 queued
}

struct Ping {
  1: i64 sequence
  2: string sender
  3: i64 revision
  4: list<MemberState> updates
  5: string environment
  6: list<ServiceLoad> loads
}

struct Ack {
  1: i64 sequence
  2: string sender
  3: i64 revision
  4: list<MemberState> updates
  5: string environment
  6: list<ServiceLoad> loads
}

struct PingRequest {
  1: i64 sequence
  2: string sender
  3: string subject
  4: string environment
}

union Datagram {
  1: Ping ping
  2: Ack ack
  3: PingRequest ping_request
  4: binary rumor
}

struct Header {
  1: binary name
  2: binary value
}

struct CallHead {
  1: string service_name
  2: string rule
  3: binary method
  4: binary target
  5: list<Header> headers
  6: i32 deadline_ms
  7: i32 retries
  8: i32 hops
  9: string caller
  10: optional string identity
  11: optional binary traceparent
  12: binary body
  13: bool streamed
  14: i64 issuer_incarnation
}

struct BodyPart {
  1: binary data
  2: bool last
}

struct AnswerHead {
  1: i32 status
  2: list<Header> headers
  3: binary body
  4: bool last
  5: i32 free_slots
  6: i32 queued
}

struct AnswerFailed {
  1: bool not_run
  2: string reason
  3: i32 retry_after_ms
  4: i32 free_slots
  5: i32 queued
}

struct Bar {
  1: string identity
}

struct Barred {
  1: bool barred
  2: optional AnswerHead answer
}

struct DocumentRequest {
  1: i64 above_revision
  2: list<string> known_parts
}

struct DocumentPart {
  1: string digest
  2: binary content
}

struct DocumentAnswer {
  1: i64 revision
  2: binary manifest
  3: list<DocumentPart> parts
}

union Frame {
  1: CallHead call_head
  2: BodyPart body_part
  3: AnswerHead answer_head
  4: AnswerFailed answer_failed
  5: Bar bar
  6: Barred barred
  7: DocumentRequest document_request
  8: DocumentAnswer document_answer
}

struct QuotaAsk {
  1: i64 number
  2: string tenant
  3: i32 count
}

struct QuotaGrant {
  1: i64 number
  2: i32 count
  3: i32 left_thousandths
}

union QuotaDatagram {
  1: QuotaAsk ask
  2: QuotaGrant grant
}
