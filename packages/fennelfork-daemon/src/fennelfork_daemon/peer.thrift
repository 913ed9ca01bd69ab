// RPC between daemons. thriftpy2 loads this file when the daemon starts.
// All times are in milliseconds. Deadlines are sent as the remaining time.

struct KeySpan {
  1: required i64 lo
  2: required i64 hi
}

struct ShardSnapshot {
  1: required i64 version
  2: required list<KeySpan> ranges
}

// `refusing_servers` names the servers that refused a request as draining.
struct ShardView {
  1: required string shard
  2: required list<ShardSnapshot> snapshots
  3: optional list<string> refusing_servers
}

struct Fault {
  1: required string code
  2: required string verdict
  3: required string detail
  4: optional i64 retry_after_ms
}

struct SubQuery {
  1: required string sub_query
  2: required string shard
  3: required i64 lo
  4: required i64 hi
}

struct ScatterRequest {
  1: required string request_id
  2: required string front
  3: required i64 snapshot
  4: required list<SubQuery> sub_queries
  5: required string query
  6: required i64 deadline_ms
  7: required string tenant
  8: required string traffic_class
  9: required i64 config_version
  10: optional double level
}

struct Part {
  1: required string sub_query
  2: required string shard
  3: required i64 lo
  4: required i64 hi
  5: required i64 snapshot
  6: required i64 count
  7: required string records
  8: optional Fault fault
  9: required i32 hedges
  10: required i32 retries
  11: required double queue_ms
  12: required double server_ms
  13: optional string server
}

struct ScatterReply {
  1: required list<Part> parts
  2: required list<ShardView> shards
  3: required i64 config_version
  4: optional double level
}

struct DescribeRequest {
  1: required string front
  2: required list<string> shards
}

struct DescribeReply {
  1: required list<ShardView> shards
}

struct ExecuteRequest {
  1: required string request_id
  2: required string front
  3: required string ticket
  4: required i64 key
  5: required string action
  6: required i64 deadline_ms
  7: required string tenant
  8: required string traffic_class
}

struct ExecuteReply {
  1: optional string outcome
  2: optional Fault fault
}

struct MemberState {
  1: required string name
  2: required i64 incarnation
  3: required string state
  4: required string region
  5: required string data_centre
  6: required string caller
  7: required string operator_address
  8: required string peer
  9: required i64 config_version
  10: required string config_hash
}

struct ProbeRequest {
  1: required MemberState sender
  2: required list<MemberState> gossip
  3: optional string relay_to
  4: optional binary digests
}

struct ProbeReply {
  1: required MemberState sender
  2: required list<MemberState> gossip
  3: required bool reached
  4: optional bool more
}

// `sender` is the peer address of a daemon that announces its version: a
// recipient with an older version fetches the document from `sender`.
// `document` is set only if `version` is higher than `have_version`. The
// document is canonical JSON, compressed with zlib.
struct ConfigRequest {
  1: required i64 have_version
  2: optional string sender
}

struct ConfigReply {
  1: required i64 version
  2: optional binary document
  3: optional string config_hash
  4: optional i64 age_ms
  5: optional i64 confirmed_age_ms
  6: optional string anomaly
}

service Peer {
  ScatterReply scatter(1: ScatterRequest request)
  DescribeReply describe(1: DescribeRequest request)
  ExecuteReply execute(1: ExecuteRequest request)
  ProbeReply probe(1: ProbeRequest request)
  ConfigReply fetch_config(1: ConfigRequest request)
}
