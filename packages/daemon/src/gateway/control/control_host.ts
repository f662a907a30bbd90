/**
 * A control host of a gateway fleet. It is a member of the replicated log and
 * coordinates the fleet while it is the leader.
 *
 * @module
 */
import * as timers from "node:timers";
import * as core from "@ebonypath/core";
import * as protocol from "@ebonypath/protocol";
import * as v from "valibot";
import * as fleet from "../../fleet/mod.ts";
import * as log from "../../log/mod.ts";
import * as replication from "../../replication/mod.ts";
import * as resources from "../../resources/mod.ts";
import * as storage from "../../storage/mod.ts";
import type * as metrics from "../metrics.ts";
import * as serverRecords from "../server_records.ts";
import * as changeCommitter from "./change_committer.ts";
import type * as dutyTypes from "./duty_types.ts";
import * as entryConfiguration from "./entry_configuration.ts";
import * as fleetCoordinator from "./fleet_coordinator.ts";
import * as membershipManager from "./membership_manager.ts";
import * as quarantineManager from "./quarantine_manager.ts";
import * as serverListFollower from "./server_list_follower.ts";
import * as stateMachine from "./state_machine.ts";
import type * as types from "./types.ts";

const write = log.createLog("control");

/** Interval of the checks whether this host is the leader, in milliseconds. */
const LEADERSHIP_CHECK_INTERVAL_MS = 100;
/** Interval of the join requests to the leader, in milliseconds. */
const JOIN_INTERVAL_MS = 1_000;
/** Interval of the log lines on refused calls, in milliseconds. */
const REFUSAL_LOG_INTERVAL_MS = 1_000;
/** Timeout of a request for the identity of a host, in milliseconds. */
const IDENTITY_TIMEOUT_MS = 1_000;
/** Timeout of a transfer of the leadership, in milliseconds. */
const TRANSFER_TIMEOUT_MS = 1_500;
/** Limits of a heartbeat relayed to the leader. Its sender waits one second. */
const HEARTBEAT_LIMITS = { attemptMs: 400, totalMs: 900, retryable: true };
/** Limits of a call that commits an entry; it may wait for a slow disk sync. */
const COMMIT_LIMITS = { attemptMs: 900, totalMs: 950, retryable: true };
/** Limits of a join request. */
const JOIN_LIMITS = { attemptMs: 400, totalMs: 800, retryable: true };

/** Options of a control host. */
export interface ControlHostOptions {
  readonly name: string;
  /** `IP:PORT` of its fleet listener. */
  readonly address: string;
  readonly dataFolder: string;
  /** Fleet addresses of the control hosts to contact first. */
  seeds(): readonly string[];
  /** Whether the fleet is started for the first time, with empty disks. */
  readonly isFirstStart: boolean;
  /** Number of control hosts that may fail at the same time. */
  readonly toleratedFailures: number;
  /**
   * Delay before a new leader takes over the orders of another host, in ms.
   * Orders of two hosts must not alternate at a server.
   */
  readonly orderTakeoverDelayMs: number;
  /** Retries that all entry hosts together may send to each service. */
  readonly retryBudget: core.gateway.FleetRetryBudget;
  /** How far the usage of workspaces may exceed their rates. */
  readonly rateTolerance?: core.gateway.RateTolerance | undefined;
  readonly rpcServer: fleet.RpcServer;
  readonly rpcClient: fleet.RpcClient;
  readonly engineClient: types.EngineClient;
  /** Duties that the leader performs; absent if the fleet has none. */
  readonly duties?: dutyTypes.Duties | undefined;
  readonly metrics: metrics.GatewayMetrics;
  /** Called when the disk or the state machine failed; the process must end. */
  onFailure(error: unknown): void;
}

/** A control host of a gateway fleet. */
export class ControlHost implements AsyncDisposable {
  readonly #options: ControlHostOptions;
  readonly #resources: resources.ResourceStack;
  readonly #stateMachine = new stateMachine.GatewayStateMachine();
  readonly #driver: replication.ReplicationDriver;
  readonly #membershipManager: membershipManager.MembershipManager;
  readonly #leaderClient: fleet.LeaderClient;
  readonly #entryConfiguration = new entryConfiguration.EntryConfiguration();
  readonly #changeCommitter = new changeCommitter.ChangeCommitter({
    state: () => {
      this.#requireLeadership();
      return this.#stateMachine.state;
    },
    commit: (command) => this.#commit(command),
  });
  /** Whether entries that are not applied yet concern entry hosts. */
  readonly #entriesOfInterest = new WeakMap<
    core.replication.Entry,
    boolean
  >();
  /** Where streams began, whether this host leads or follows. */
  readonly #streamOrigins = new core.gateway.StreamOrigins();
  readonly #serverListFollower: serverListFollower.ServerListFollower;
  readonly #stop = new AbortController();
  #coordinator: fleetCoordinator.FleetCoordinator | undefined;
  /** Address of the leader as last passed on to the search. */
  #suggestedLeader: string | null = null;

  private constructor(
    options: ControlHostOptions,
    store: storage.Store,
    owned: resources.ResourceStack,
  ) {
    this.#options = options;
    this.#resources = owned;
    const self = { id: store.recovered.identity.id, address: options.address };
    const transport = owned.use(
      new replication.HttpTransport({ ...options.rpcClient.options, self }),
    );
    this.#driver = owned.use(
      new replication.ReplicationDriver({
        self,
        store,
        machine: this.#stateMachine,
        transport,
        onFailure: (error) => options.onFailure(error),
      }),
    );
    this.#membershipManager = owned.use(
      new membershipManager.MembershipManager(
        this.#driver,
        2 * options.toleratedFailures + 1,
      ),
    );
    this.#leaderClient = new fleet.LeaderClient(
      options.rpcClient,
      options.seeds,
    );
    this.#serverListFollower = owned.use(
      new serverListFollower.ServerListFollower({
        host: options.name,
        isLeading: () => this.#driver.status.role === "leader",
        streamOrigins: this.#streamOrigins,
        configurationVersion: () =>
          this.#stateMachine.state.configuration?.version ?? null,
        call: (method, params, limits) => {
          this.#updateLeaderClient();
          return this.#leaderClient.call(method, params, limits);
        },
      }),
    );
    this.#stateMachine.on("change", () => this.#coordinator?.onStateChange());
    owned.defer(() => this.#coordinator?.[Symbol.dispose]());
    this.#registerMethods(options.rpcServer);
  }

  /**
   * Opens a control host and recovers its state from the data folder.
   *
   * @throws {storage.StorageError} the folder is unusable or damaged
   *
   * @example
   * ```ts
   * await using host = await ControlHost.open(options);
   * host.start();
   * ```
   */
  static async open(options: ControlHostOptions): Promise<ControlHost> {
    const owned = new resources.ResourceStack();
    try {
      const { dataFolder, name } = options;
      const store = owned.use(await storage.openStore(dataFolder, { name }));
      return new ControlHost(options, store, owned);
    } catch (error) {
      await owned[Symbol.asyncDispose]();
      throw error;
    }
  }

  /** Starts replication; the fleet listener must already accept calls. */
  start(): void {
    this.#driver.start();
    const { isFirstStart } = this.#options;
    const seeds = this.#options.seeds();
    const mayFormGroup = isFirstStart && seeds.includes(this.#options.address);
    if (!this.#driver.hasLog && mayFormGroup) {
      void replication.bootstrapGroup(
        this.#driver,
        seeds,
        (address) => this.#fetchIdentity(address),
        this.#stop.signal,
      );
    }
    this.#driver.onStatusChange(() =>
      timers.setImmediate(() => this.#updateLeadership())
    );
    const check = timers.setInterval(
      () => this.#updateLeadership(),
      LEADERSHIP_CHECK_INTERVAL_MS,
    );
    this.#resources.defer(() => timers.clearInterval(check));
    const join = timers.setInterval(
      () => void this.#requestToJoin(),
      JOIN_INTERVAL_MS,
    );
    this.#resources.defer(() => timers.clearInterval(join));
    void this.#requestToJoin();
    this.#serverListFollower.start();
    const refusals = timers.setInterval(
      () => this.#logRefusedCalls(),
      REFUSAL_LOG_INTERVAL_MS,
    );
    this.#resources.defer(() => timers.clearInterval(refusals));
  }

  /** Fleet address of the leader, or null if none is known. */
  get leaderAddress(): string | null {
    return this.#driver.status.leader?.address ?? null;
  }

  /**
   * Commits a command to the replicated state.
   *
   * @throws {fleet.OutcomeUnknown} the command may still be committed
   * @throws {fleet.Unreachable} no leader was found in time
   */
  async submit(command: protocol.gateway.Command): Promise<void> {
    await this.#callLeader(
      protocol.gateway.METHODS.command,
      command,
      COMMIT_LIMITS,
    );
  }

  /**
   * Commits a change that a later one can undo, only while its caller waits. A
   * change that is held up on its way and overtaken by another one is judged
   * again, so that it can't take effect after its caller has given it up and
   * been told of the other one.
   *
   * @param isCallerWaiting resolves to whether the caller still waits
   * @throws {protocol.errors.StepError} the caller has left; it was not committed
   * by this call
   * @throws {fleet.OutcomeUnknown} the change may still be committed
   * @throws {fleet.Unreachable} no leader was found in time
   */
  async submitChange(
    change: protocol.gateway.ReversibleChange,
    isCallerWaiting: () => Promise<boolean>,
  ): Promise<void> {
    const until = performance.now() + COMMIT_LIMITS.totalMs;
    let basis: number | null = this.#stateMachine.state.revisionFor(change);
    while (true) {
      // The basis is known before the caller is: a change that its caller makes
      // elsewhere, once it has left, is not in it.
      if (!await isCallerWaiting()) {
        throw this.#callerLeft("commit change", { ...change, basis });
      }
      const totalMs = until - performance.now();
      const response: protocol.gateway.ChangeResponse = v.parse(
        protocol.gateway.ChangeResponse,
        await this.#callLeader(
          protocol.gateway.METHODS.change,
          { change, basis },
          { ...COMMIT_LIMITS, totalMs },
        ),
      );
      if (response.kind === "committed") return;
      basis = response.revision;
    }
  }

  /**
   * Reads the document of the latest configuration.
   *
   * @throws {fleet.OutcomeUnknown} the latest version could not be confirmed
   * @throws {fleet.Unreachable} no leader was found in time
   */
  async readConfiguration(): Promise<string> {
    const answer = await this.#callLeader(
      protocol.gateway.METHODS.read,
      {},
      COMMIT_LIMITS,
    );
    return v.parse(v.string(), answer);
  }

  /**
   * Reads the requests that are in quarantine.
   *
   * @throws {fleet.OutcomeUnknown} the latest state could not be confirmed
   * @throws {fleet.Unreachable} no leader was found in time
   */
  async readQuarantines(): Promise<protocol.state.Quarantine[]> {
    const answer = await this.#callLeader(
      protocol.gateway.METHODS.quarantines,
      {},
      COMMIT_LIMITS,
    );
    return v.parse(v.array(protocol.state.Quarantine), answer);
  }

  /**
   * Relays a heartbeat to the leader.
   *
   * @throws {Error} no leader accepted it in time
   */
  async relayHeartbeat(relayed: protocol.gateway.ServerUpdate): Promise<void> {
    const method = protocol.gateway.METHODS.heartbeat;
    await this.#callLeader(method, relayed, HEARTBEAT_LIMITS);
  }

  /**
   * Tells the leader that a server has ended, while its caller waits. The caller
   * is the start that the leader knows by then, or an earlier one; a later start
   * is not affected if this is held up on its way.
   *
   * @param isCallerWaiting resolves to whether the caller still waits
   * @throws {Error} no leader accepted it in time, or the caller has left
   */
  async relayServerEnd(
    id: string,
    isCallerWaiting: () => Promise<boolean>,
  ): Promise<void> {
    const { METHODS, StartResponse } = protocol.gateway;
    const { born } = v.parse(
      StartResponse,
      await this.#callLeader(METHODS.start, { id }, HEARTBEAT_LIMITS),
    );
    if (!await isCallerWaiting()) {
      throw this.#callerLeft("end server", { kind: "ended", id, born });
    }
    await this.relayHeartbeat({ kind: "ended", id, born });
  }

  /** Transfers the leadership to another voter if this host is the leader. */
  async transferLeadership(): Promise<void> {
    if (this.#driver.status.role !== "leader") return;
    const isDone = await replication.handOverLeadership(
      this.#driver,
      TRANSFER_TIMEOUT_MS,
    );
    write("handed-over", { done: isDone });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#stop.abort();
    await this.#resources[Symbol.asyncDispose]();
  }

  /** Logs that a call is dropped, and creates its error. */
  #callerLeft(step: string, call: log.Fields): protocol.errors.StepError {
    write("caller-left", call);
    const { name } = this.#options;
    return new protocol.errors.StepError(step, name, "the caller has left");
  }

  /** Handles a call on this host if it is the leader, else calls the leader. */
  async #callLeader(
    method: string,
    params: object,
    limits: fleet.CallLimits,
  ): Promise<unknown> {
    if (this.#currentCoordinator !== undefined) {
      try {
        return await this.#handleAsLeader(method, params);
      } catch (error) {
        const mayCallAgain = error instanceof fleet.NotLeader ||
          (error instanceof fleet.OutcomeUnknown && limits.retryable);
        if (!mayCallAgain) throw error;
      }
    }
    this.#updateLeaderClient();
    return await this.#leaderClient.call(method, params, limits);
  }

  #updateLeaderClient(): void {
    const members = core.replication.allMembers(this.#driver.membership);
    this.#leaderClient.setControlHosts(members);
    // Replication notices a new leader before a call to the old one times out.
    // It may also name a lost one for longer than the search does.
    const leader = this.leaderAddress;
    if (leader === this.#suggestedLeader) return;
    this.#suggestedLeader = leader;
    if (leader !== null && leader !== this.#options.address) {
      this.#leaderClient.setLeader(leader);
    }
  }

  /** Handles the calls that every control host accepts and relays. */
  #handleAsLeader(method: string, params: object): unknown {
    const { METHODS } = protocol.gateway;
    switch (method) {
      case METHODS.command:
        return this.#commit(params as protocol.gateway.Command);
      case METHODS.change:
        return this.#changeCommitter.commit(
          params as protocol.gateway.ChangeRequest,
        );
      case METHODS.read:
        return this.#readConfirmed(({ source }) => source);
      case METHODS.quarantines:
        return this.#readConfirmed(({ quarantines }) => quarantines);
      case METHODS.heartbeat:
        return this.#handleServerUpdate(
          params as protocol.gateway.ServerUpdate,
        );
      case METHODS.start:
        return this.#requireLeadership().startOf(
          params as protocol.gateway.StartRequest,
        );
      default:
        throw new TypeError(`unexpected method ${method}`);
    }
  }

  async #handleServerUpdate(
    update: protocol.gateway.ServerUpdate,
  ): Promise<null> {
    await this.#requireLeadership().handleUpdate(update);
    return null;
  }

  #registerMethods(rpc: fleet.RpcServer): void {
    const { gateway, replication: messages } = protocol;
    rpc.addMethod(
      messages.MESSAGES_METHOD,
      messages.messageBatchSchema,
      (batch) => {
        this.#driver.receive(batch);
        return null;
      },
    );
    rpc.addMethod(
      messages.IDENTITY_METHOD,
      v.object({}),
      () => this.#driver.identity(),
    );
    const lookup = this.#resources.use(
      new fleet.LeaderLookup({
        address: this.#options.address,
        isLeading: () => this.#currentCoordinator !== undefined,
        leaderAddress: () => this.leaderAddress,
      }),
    );
    lookup.register(rpc);
    const relayed = [
      [gateway.METHODS.command, gateway.Command],
      [gateway.METHODS.change, gateway.ChangeRequest],
      [gateway.METHODS.read, v.object({})],
      [gateway.METHODS.quarantines, v.object({})],
      [gateway.METHODS.heartbeat, gateway.ServerUpdate],
      [gateway.METHODS.start, gateway.StartRequest],
    ] as const;
    for (const [method, schema] of relayed) {
      rpc.addMethod<v.GenericSchema<object>>(
        method,
        schema,
        (params) => this.#handleAsLeader(method, params),
      );
    }
    rpc.addMethod(
      gateway.METHODS.watch,
      gateway.WatchRequest,
      (request) => this.#requireLeadership().watch(request),
    );
    rpc.addMethod(
      gateway.METHODS.report,
      serverRecords.withSoundServers(gateway.ReportRequest),
      (report) => this.#requireLeadership().report(report),
    );
    rpc.addMethod(
      gateway.METHODS.position,
      v.object({}),
      () => this.#position(),
    );
    rpc.addMethod(gateway.METHODS.state, v.object({}), () => this.#hostState());
    rpc.addMethod(
      gateway.METHODS.stream,
      gateway.StreamRequest,
      (request) => this.#requireLeadership().findStream(request),
    );
    rpc.addMethod(
      gateway.METHODS.join,
      gateway.JoinRequest,
      (request) => {
        this.#requireLeadership();
        this.#membershipManager.recordJoinRequest(request);
        return null;
      },
    );
    const { join, report, stream, watch } = gateway.METHODS;
    rpc.addLeaderGuard(
      [...relayed.map(([method]) => method), join, report, stream, watch],
      () => this.#refuseUnlessLeading(),
    );
  }

  /**
   * Tells what this host's log contains, whether it leads or not.
   *
   * @throws {protocol.errors.StepError} it does not know
   */
  #position(): protocol.gateway.PositionResponse {
    const { membership, self, unappliedEntries } = this.#driver;
    const stateIndex = this.#requireStateIndex();
    const newest = unappliedEntries.findLast((entry) =>
      this.#concernsEntryHosts(entry)
    );
    return {
      member: self.id,
      voters: membership.voters.map(({ id }) => id),
      controlHosts: core.replication.allMembers(membership)
        .map(({ address }) => address),
      newestIndex: newest?.index ?? stateIndex,
      stateIndex,
      hasLeader: this.leaderAddress !== null,
    };
  }

  /** Reads each entry once: a configuration is large, and often asked about. */
  #concernsEntryHosts(entry: core.replication.Entry): boolean {
    const { payload } = entry;
    if (payload.kind !== "command") return false;
    const known = this.#entriesOfInterest.get(entry);
    if (known !== undefined) return known;
    const concerns = core.gateway.concernsEntryHosts(
      JSON.parse(payload.data) as protocol.gateway.Command,
    );
    this.#entriesOfInterest.set(entry, concerns);
    return concerns;
  }

  /**
   * The replicated state that entry hosts act on, as far as it is applied here.
   *
   * @throws {protocol.errors.StepError} it does not know which one that is
   */
  #hostState(): protocol.gateway.HostState {
    const { state } = this.#stateMachine;
    return {
      index: this.#requireStateIndex(),
      configuration: state.configuration === null
        ? null
        : this.#entryConfiguration.of(state.configuration),
      withdrawnDomains: state.withdrawnDomains,
      mixedServices: state.mixedServices,
      quarantines: quarantineManager.listQuarantines(state),
    };
  }

  #requireStateIndex(): number {
    const { appliedIndex, state } = this.#stateMachine;
    const isRestored = appliedIndex >= this.#driver.appliedIndex;
    if (this.#driver.hasLog && isRestored && state.hostStateIndex !== null) {
      return state.hostStateIndex;
    }
    throw new protocol.errors.StepError(
      "read state",
      this.#options.name,
      "the replicated state is not restored yet",
    );
  }

  async #commit(command: protocol.gateway.Command): Promise<null> {
    this.#requireLeadership();
    await this.#driver.propose(JSON.stringify(command));
    this.#options.metrics.commits.inc();
    return null;
  }

  /**
   * Reads the state after committing a barrier entry, which proves that this host
   * was still the leader after the call began.
   */
  async #readConfirmed<T>(
    read: (state: core.gateway.GatewayState) => T,
  ): Promise<T> {
    await this.#commit({ kind: "barrier" });
    return read(this.#stateMachine.state);
  }

  #requireLeadership(): fleetCoordinator.FleetCoordinator {
    const coordinator = this.#currentCoordinator;
    if (coordinator !== undefined) return coordinator;
    throw new fleet.NotLeader("lead", this.#options.name, this.#otherLeader());
  }

  #refuseUnlessLeading(): fleet.NotLeading | undefined {
    if (this.#currentCoordinator !== undefined) return undefined;
    return { leader: this.#otherLeader() };
  }

  /** Fleet address of the leader, if it is another host that is known. */
  #otherLeader(): string | null {
    const leader = this.leaderAddress;
    return leader === this.#options.address ? null : leader;
  }

  /** Tells how much work callers make that look for a leader. */
  #logRefusedCalls(): void {
    const { bytes, calls, refused } = this.#options.rpcServer.takeCounts();
    if (refused.size === 0) return;
    const methods = [...refused].map(([method, count]) => `${method}:${count}`);
    const { role, term } = this.#driver.status;
    write("calls-refused", {
      refused: methods.join(","),
      calls,
      bytes,
      role,
      term,
    });
  }

  /** The coordinator of the current term, while this host holds the lease. */
  get #currentCoordinator(): fleetCoordinator.FleetCoordinator | undefined {
    const coordinator = this.#coordinator;
    const isCurrent = this.#driver.hasLease() &&
      this.#driver.status.term === coordinator?.term;
    return isCurrent ? coordinator : undefined;
  }

  /** Creates the coordinator of a leadership, and disposes of it at its end. */
  #updateLeadership(): void {
    const { role, term } = this.#driver.status;
    if (this.#coordinator !== undefined) {
      if (role === "leader" && term === this.#coordinator.term) return;
      this.#coordinator[Symbol.dispose]();
      this.#coordinator = undefined;
    }
    const isCurrent = role === "leader" && this.#driver.hasLease() &&
      this.#stateMachine.appliedTerm === term;
    if (!isCurrent) return;
    const {
      address,
      duties,
      engineClient,
      metrics,
      name,
      orderTakeoverDelayMs,
      rateTolerance,
      retryBudget,
    } = this.#options;
    this.#coordinator = new fleetCoordinator.FleetCoordinator({
      host: name,
      // A machine that replaces another one may have the same name.
      orderHolder: `${name} ${address}`,
      term,
      engineClient,
      metrics,
      orderTakeoverDelayMs,
      retryBudget,
      rateTolerance,
      duties,
      known: this.#serverListFollower.copy(),
      streamOrigins: this.#streamOrigins,
      commit: (command) => this.#commit(command),
      commitChange: (request) => this.#changeCommitter.commit(request),
      state: () => this.#stateMachine.state,
      controlHosts: () =>
        core.replication.allMembers(this.#driver.membership)
          .map(({ address }) => address),
      hasLease: () => this.#driver.hasLease(),
    });
  }

  /** Asks the leader to join; members repeat it to remain members. */
  async #requestToJoin(): Promise<void> {
    const { address, id } = this.#driver.self;
    try {
      await this.#leaderClient.call(
        protocol.gateway.METHODS.join,
        { id, address },
        JOIN_LIMITS,
      );
    } catch (error) {
      if (this.#driver.hasLog) return;
      write("not-joined", { error });
    }
  }

  async #fetchIdentity(
    address: string,
  ): Promise<protocol.replication.Identity> {
    const answer = await this.#options.rpcClient.call(
      address,
      protocol.replication.IDENTITY_METHOD,
      {},
      IDENTITY_TIMEOUT_MS,
    );
    return v.parse(protocol.replication.identitySchema, answer);
  }
}
