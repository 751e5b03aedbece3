@0xd6b1c5a9e3f47a21;
# Messages between the system's processes, and records on disk.
# New fields and union members are added at the end only, so that peers and stored
# records of other versions stay readable.

struct Body {
  union {
    challenge @0 :Challenge;
    hello @1 :Hello;
    welcome @2 :Welcome;
    envelope @3 :Envelope;
    member @4 :Member;
    members @5 :Members;
    entry @6 :Entry;
    voteRequest @7 :VoteRequest;
    voteReply @8 :VoteReply;
    appendRequest @9 :AppendRequest;
    appendReply @10 :AppendReply;
    snapshotRequest @11 :SnapshotRequest;
    snapshotReply @12 :SnapshotReply;
    applyText @13 :ApplyText;
    giveKey @14 :GiveKey;
    withdrawKey @15 :WithdrawKey;
    setDrain @16 :SetDrain;
    setLifeState @17 :SetLifeState;
    openClaim @18 :OpenClaim;
    closeClaim @19 :CloseClaim;
    settleClaim @20 :SettleClaim;
    expireClaims @21 :ExpireClaims;
    reportCrash @22 :ReportCrash;
    startRollout @23 :StartRollout;
    issueOrder @24 :IssueOrder;
    finishOrder @25 :FinishOrder;
    proposal @26 :Proposal;
    result @27 :Result;
    claimRecord @28 :ClaimRecord;
    auditRecord @29 :AuditRecord;
    textChanged @30 :TextChanged;
    keyGiven @31 :KeyGiven;
    keyWithdrawn @32 :KeyWithdrawn;
    drainChanged @33 :DrainChanged;
    lifeStateChanged @34 :LifeStateChanged;
    crashReported @35 :CrashReported;
    weightsChanged @36 :WeightsChanged;
    versionedEvent @37 :VersionedEvent;
    syncRequest @38 :SyncRequest;
    syncReply @39 :SyncReply;
    quotaAsk @40 :QuotaAsk;
    grantRequest @41 :GrantRequest;
    grant @42 :Grant;
    grantReply @43 :GrantReply;
    proposeRequest @44 :ProposeRequest;
    proposeReply @45 :ProposeReply;
    notLeader @46 :NotLeader;
    refused @47 :Refused;
    showRequest @48 :ShowRequest;
    showReply @49 :ShowReply;
    auditRequest @50 :AuditRequest;
    auditReply @51 :AuditReply;
    keyLine @52 :KeyLine;
    keysRequest @53 :KeysRequest;
    keysReply @54 :KeysReply;
    claimRequest @55 :ClaimRequest;
    claimReply @56 :ClaimReply;
    statusRequest @57 :StatusRequest;
    controllerLine @58 :ControllerLine;
    routerLine @59 :RouterLine;
    targetLine @60 :TargetLine;
    organisationLine @61 :OrganisationLine;
    statusReply @62 :StatusReply;
    memberChangeRequest @63 :MemberChangeRequest;
    joinRequest @64 :JoinRequest;
    joinReply @65 :JoinReply;
    bootstrapRequest @66 :BootstrapRequest;
    bootstrapReply @67 :BootstrapReply;
    whyRequest @68 :WhyRequest;
    whyLine @69 :WhyLine;
    whyReply @70 :WhyReply;
    vouchRequest @71 :VouchRequest;
    vouchReply @72 :VouchReply;
    memberChangeReply @73 :MemberChangeReply;
    viewHeader @74 :ViewHeader;
    keyBlock @75 :KeyBlock;
    stateHeader @76 :StateHeader;
    keyTimes @77 :KeyTimes;
    rolloutRecord @78 :RolloutRecord;
    orderRecord @79 :OrderRecord;
    timeoutNow @80 :TimeoutNow;
    auditBlock @81 :AuditBlock;
  }
}

struct Challenge {
  nonce @0 :Data;
}

struct Hello {
  identity @0 :Text;
  nonce @1 :Data;
  proof @2 :Data;
}

struct Welcome {
  proof @0 :Data;
}

struct Envelope {
  call @0 :Int64;
  reply @1 :Bool;
  body @2 :Data;
}

struct Member {
  name @0 :Text;
  replica @1 :Text;
  address @2 :Text;
  failureDomain @3 :Text;
  role @4 :Text;
}

struct Members {
  members @0 :List(Member);
}

struct Entry {
  index @0 :Int64;
  term @1 :Int64;
  kind @2 :Text;
  payload @3 :Data;
}

struct VoteRequest {
  term @0 :Int64;
  candidate @1 :Text;
  lastIndex @2 :Int64;
  lastTerm @3 :Int64;
  pre @4 :Bool;
  transfer @5 :Bool;
  address @6 :Text;
  replica @7 :Text;
}

struct VoteReply {
  term @0 :Int64;
  voter @1 :Text;
  granted @2 :Bool;
  pre @3 :Bool;
  supportedTerm @4 :Int64;
}

struct AppendRequest {
  term @0 :Int64;
  leader @1 :Text;
  prevIndex @2 :Int64;
  prevTerm @3 :Int64;
  commit @4 :Int64;
  round @5 :Int64;
  entries @6 :List(Entry);
  address @7 :Text;
  replica @8 :Text;
}

struct AppendReply {
  term @0 :Int64;
  replica @1 :Text;
  ok @2 :Bool;
  match @3 :Int64;
  round @4 :Int64;
}

struct SnapshotRequest {
  term @0 :Int64;
  leader @1 :Text;
  lastIndex @2 :Int64;
  lastTerm @3 :Int64;
  members @4 :Members;
  offset @5 :Int64;
  data @6 :Data;
  done @7 :Bool;
  round @8 :Int64;
  address @9 :Text;
  replica @10 :Text;
}

struct SnapshotReply {
  term @0 :Int64;
  replica @1 :Text;
  lastIndex @2 :Int64;
  offset @3 :Int64;
  done @4 :Bool;
  round @5 :Int64;
}

struct ApplyText {
  changeId @0 :Text;
  operator @1 :Text;
  baseRevision @2 :Int64;
  text @3 :Text;
}

struct GiveKey {
  changeId @0 :Text;
  operator @1 :Text;
  keyId @2 :Text;
  organisation @3 :Text;
  keyHash @4 :Data;
}

struct WithdrawKey {
  changeId @0 :Text;
  operator @1 :Text;
  keyId @2 :Text;
}

struct SetDrain {
  changeId @0 :Text;
  operator @1 :Text;
  subject @2 :Text;
  name @3 :Text;
  draining @4 :Bool;
}

struct SetLifeState {
  subject @0 :Text;
  name @1 :Text;
  incarnation @2 :Text;
  state @3 :Text;
  source @4 :Text;
}

struct OpenClaim {
  organisation @0 :Text;
  idempotencyKey @1 :Text;
  fingerprint @2 :Data;
  router @3 :Text;
  attempt @4 :Text;
}

struct CloseClaim {
  organisation @0 :Text;
  idempotencyKey @1 :Text;
  attempt @2 :Text;
  state @3 :Text;
  httpStatus @4 :Int64;
  contentType @5 :Text;
  body @6 :Data;
}

struct SettleClaim {
  changeId @0 :Text;
  operator @1 :Text;
  organisation @2 :Text;
  idempotencyKey @3 :Text;
  state @4 :Text;
  note @5 :Text;
}

struct ExpireClaims {
  beforeMs @0 :Int64;
}

struct ReportCrash {
  fingerprint @0 :Data;
  target @1 :Text;
  incarnation @2 :Text;
}

struct StartRollout {
  changeId @0 :Text;
  operator @1 :Text;
  service @2 :Text;
  version @3 :Text;
}

struct IssueOrder {
  target @0 :Text;
  service @1 :Text;
  version @2 :Text;
}

struct FinishOrder {
  target @0 :Text;
  fence @1 :Int64;
  ok @2 :Bool;
  version @3 :Text;
  detail @4 :Text;
}

struct Proposal {
  atMs @0 :Int64;
  command @1 :Data;
}

struct Result {
  status @0 :Text;
  index @1 :Int64;
  revision @2 :Int64;
  message @3 :Text;
  claim @4 :ClaimRecord;
}

struct ClaimRecord {
  organisation @0 :Text;
  idempotencyKey @1 :Text;
  fingerprint @2 :Data;
  router @3 :Text;
  attempt @4 :Text;
  state @5 :Text;
  openedMs @6 :Int64;
  closedMs @7 :Int64;
  httpStatus @8 :Int64;
  contentType @9 :Text;
  body @10 :Data;
  note @11 :Text;
}

struct AuditRecord {
  index @0 :Int64;
  atMs @1 :Int64;
  operator @2 :Text;
  action @3 :Text;
  subject @4 :Text;
  baseRevision @5 :Int64;
  revision @6 :Int64;
  changeId @7 :Text;
  status @8 :Text;
  detail @9 :Text;
}

struct TextChanged {
  revision @0 :Int64;
  text @1 :Text;
}

struct KeyGiven {
  keyId @0 :Text;
  organisation @1 :Text;
  keyHash @2 :Data;
}

struct KeyWithdrawn {
  keyId @0 :Text;
}

struct DrainChanged {
  subject @0 :Text;
  name @1 :Text;
  draining @2 :Bool;
}

struct LifeStateChanged {
  subject @0 :Text;
  name @1 :Text;
  incarnation @2 :Text;
  state @3 :Text;
  source @4 :Text;
}

struct CrashReported {
  fingerprint @0 :Data;
  target @1 :Text;
  atMs @2 :Int64;
}

struct WeightsChanged {
  target @0 :Text;
  service @1 :Text;
  version @2 :Text;
  fence @3 :Int64;
}

struct VersionedEvent {
  version @0 :Int64;
  event @1 :Data;
}

struct SyncRequest {
  vm @0 :Text;
  incarnation @1 :Text;
  version @2 :Int64;
  waitMs @3 :Int64;
}

struct SyncReply {
  version @0 :Int64;
  ageMs @1 :Int64;
  leaderAddress @2 :Text;
  events @3 :List(VersionedEvent);
  snapshot @4 :Data;
  group @5 :Text;
}

struct QuotaAsk {
  organisation @0 :Text;
  want @1 :Int64;
  held @2 :Int64;
  spent @3 :Int64;
  waiting @4 :Int64;
  queued @5 :Int64;
  recent @6 :List(Int64);
}

struct GrantRequest {
  vm @0 :Text;
  incarnation @1 :Text;
  httpAddress @2 :Text;
  failureDomain @3 :Text;
  leaving @4 :Bool;
  sequence @5 :Int64;
  asks @6 :List(QuotaAsk);
  viewVersion @7 :Int64;
  joinedTerm @8 :Int64;
}

struct Grant {
  organisation @0 :Text;
  tokens @1 :Int64;
  lifetimeMs @2 :Int64;
  priority @3 :Int64;
  retryAfterMs @4 :Int64;
}

struct GrantReply {
  ownerTerm @0 :Int64;
  sequence @1 :Int64;
  grants @2 :List(Grant);
  sharedVersion @3 :Int64;
}

struct ProposeRequest {
  command @0 :Data;
}

struct ProposeReply {
  result @0 :Result;
}

struct NotLeader {
  leaderAddress @0 :Text;
}

struct Refused {
  message @0 :Text;
}

struct ShowRequest {
}

struct ShowReply {
  revision @0 :Int64;
  text @1 :Text;
}

struct AuditRequest {
  afterIndex @0 :Int64;
  limit @1 :Int64;
}

struct AuditReply {
  records @0 :List(AuditRecord);
}

struct KeyLine {
  keyId @0 :Text;
  organisation @1 :Text;
  givenMs @2 :Int64;
  withdrawnMs @3 :Int64;
}

struct KeysRequest {
  organisation @0 :Text;
}

struct KeysReply {
  keys @0 :List(KeyLine);
}

struct ClaimRequest {
  organisation @0 :Text;
  idempotencyKey @1 :Text;
}

struct ClaimReply {
  claim @0 :ClaimRecord;
}

struct StatusRequest {
}

struct ControllerLine {
  member @0 :Member;
  isLeader @1 :Bool;
  match @2 :Int64;
  heardMs @3 :Int64;
}

struct RouterLine {
  vm @0 :Text;
  incarnation @1 :Text;
  httpAddress @2 :Text;
  failureDomain @3 :Text;
  state @4 :Text;
  heardMs @5 :Int64;
}

struct TargetLine {
  name @0 :Text;
  service @1 :Text;
  address @2 :Text;
  failureDomain @3 :Text;
  state @4 :Text;
  draining @5 :Bool;
  version @6 :Text;
}

struct OrganisationLine {
  name @0 :Text;
  rate @1 :Int64;
  burst @2 :Int64;
  share @3 :Int64;
  level @4 :Int64;
  usedPerS @5 :Int64;
}

struct StatusReply {
  term @0 :Int64;
  leader @1 :Text;
  commit @2 :Int64;
  revision @3 :Int64;
  controllers @4 :List(ControllerLine);
  routers @5 :List(RouterLine);
  targets @6 :List(TargetLine);
  organisations @7 :List(OrganisationLine);
}

struct MemberChangeRequest {
  changeId @0 :Text;
  operator @1 :Text;
  addName @2 :Text;
  addAddress @3 :Text;
  addFailureDomain @4 :Text;
  replace @5 :Text;
}

struct JoinRequest {
}

struct JoinReply {
  member @0 :Member;
  inGroup @1 :Bool;
}

struct BootstrapRequest {
  members @0 :Members;
}

struct BootstrapReply {
  members @0 :Members;
}

struct WhyRequest {
  requestId @0 :Text;
}

struct WhyLine {
  target @0 :Text;
  chosen @1 :Bool;
  scoreMs @2 :Float64;
  reason @3 :Text;
}

struct WhyReply {
  requestId @0 :Text;
  organisation @1 :Text;
  revision @2 :Int64;
  lines @3 :List(WhyLine);
  outcome @4 :Text;
}

struct VouchRequest {
}

struct VouchReply {
  commit @0 :Int64;
  ageMs @1 :Int64;
}

struct MemberChangeReply {
  members @0 :Members;
}

struct ViewHeader {
  version @0 :Int64;
  revision @1 :Int64;
  group @2 :Text;
}

struct KeyBlock {
  organisation @0 :Text;
  keyIds @1 :List(Text);
  keyHashes @2 :Data;
}

struct StateHeader {
  index @0 :Int64;
  atMs @1 :Int64;
  textOperator @2 :Text;
  textAtMs @3 :Int64;
  viewRecords @4 :Int64;
}

struct KeyTimes {
  keyIds @0 :List(Text);
  givenMs @1 :List(Int64);
}

struct RolloutRecord {
  service @0 :Text;
  version @1 :Text;
  index @2 :Int64;
  operator @3 :Text;
  atMs @4 :Int64;
}

struct OrderRecord {
  target @0 :Text;
  service @1 :Text;
  version @2 :Text;
  fence @3 :Int64;
  issuedMs @4 :Int64;
  finishedMs @5 :Int64;
  ok @6 :Bool;
  failures @7 :Int64;
  detail @8 :Text;
}

struct TimeoutNow {
  term @0 :Int64;
  leader @1 :Text;
}

struct AuditBlock {
  indexes @0 :List(Int64);
  changeIds @1 :List(Text);
  records @2 :List(Data);
}
