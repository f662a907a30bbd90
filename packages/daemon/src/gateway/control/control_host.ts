/**
 * A control host of a gateway fleet: its member of the replicated log, and the
 * directory while it leads.
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
import * as fleetCoordinator from "./fleet_coordinator.ts";
import * as membershipManager from "./membership_manager.ts";
import * as stateMachine from "./state_machine.ts";
import type * as types from "./types.ts";

const write = log.createLog("control");

/** Time between two looks at whether this host leads, in milliseconds. */
const WATCH_MS = 100;
/** Time between two requests to be a member, in milliseconds. */
const JOIN_MS = 1_000;
/** Time for a host to say who it is, in milliseconds. */
const IDENTITY_TIMEOUT_MS = 1_000;
/** Time for another member to take the leadership over, in milliseconds. */
const HAND_OVER_MS = 1_500;
/** Limits of a call to the leader: callers wait a second for the answer. */
const LEADER_LIMITS = { attemptMs: 400, totalMs: 900, repeatable: true };
/** Limits of a change, which may need a slow disk's sync. */
const CHANGE_LIMITS = { attemptMs: 900, totalMs: 950, repeatable: true };
/** Limits of a request to join. */
const JOIN_LIMITS = { attemptMs: 400, totalMs: 800, repeatable: true };

/** What a control host is made of. */
export interface ControlHostOptions {
  readonly name: string;
  /** `IP:PORT` of its fleet listener. */
  readonly address: string;
  readonly dataFolder: string;
  /** Fleet addresses of control hosts to begin with. */
  seeds(): readonly string[];
  /** Whether the fleet starts for the first time, with empty disks. */
  readonly isFirstStart: boolean;
  /** Hosts that may be lost at the same time. */
  readonly toleratedFailures: number;
  /** Time during which orders of two leaders must not alternate, in ms. */
  readonly orderTakeoverDelayMs: number;
  readonly rpcServer: fleet.RpcServer;
  readonly rpcClient: fleet.RpcClient;
  readonly engineClient: types.EngineClient;
  readonly metrics: metrics.GatewayMetrics;
  /** The disk or the state has failed: the process has to end. */
  onFailure(error: unknown): void;
}

/** One control host. */
export class ControlHost implements AsyncDisposable {
  readonly #options: ControlHostOptions;
  readonly #resources: resources.ResourceStack;
  readonly #replicated = new stateMachine.GatewayStateMachine();
  readonly #driver: replication.ReplicationDriver;
  readonly #membership: membershipManager.MembershipManager;
  readonly #leader: fleet.LeaderClient;
  readonly #stop = new AbortController();
  #directory: fleetCoordinator.FleetCoordinator | undefined;

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
        machine: this.#replicated,
        transport,
        onFailure: (error) => options.onFailure(error),
      }),
    );
    this.#membership = owned.use(
      new membershipManager.MembershipManager(
        this.#driver,
        2 * options.toleratedFailures + 1,
      ),
    );
    this.#leader = new fleet.LeaderClient(options.rpcClient, options.seeds);
    this.#replicated.on("change", () => this.#directory?.onStateChange());
    owned.defer(() => this.#directory?.[Symbol.dispose]());
    this.#register(options.rpcServer);
  }

  /**
   * Recovers the host's member from its data folder.
   *
   * @throws {storage.StorageError} the folder can't be used or is damaged
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

  /** Takes part in the group, once the fleet listener answers. */
  start(): void {
    this.#driver.start();
    const { isFirstStart } = this.#options;
    const seeds = this.#options.seeds();
    const forms = isFirstStart && seeds.includes(this.#options.address);
    if (!this.#driver.hasLog && forms) {
      void replication.formGroup(
        this.#driver,
        seeds,
        (address) => this.#ask(address),
        this.#stop.signal,
      );
    }
    this.#driver.onStatus(() => timers.setImmediate(() => this.#watch()));
    const watch = timers.setInterval(() => this.#watch(), WATCH_MS);
    this.#resources.defer(() => timers.clearInterval(watch));
    const join = timers.setInterval(() => void this.#join(), JOIN_MS);
    this.#resources.defer(() => timers.clearInterval(join));
    void this.#join();
  }

  /** Fleet address of the leader, when one is known. */
  get leaderAddress(): string | null {
    return this.#driver.status.leader?.address ?? null;
  }

  /**
   * Commits a change of the state.
   *
   * @throws {fleet.OutcomeUnknown} it may yet be committed
   * @throws {fleet.Unreachable} no leader was found in time
   */
  async submit(command: protocol.gateway.Command): Promise<void> {
    await this.#call(
      protocol.gateway.METHODS.command,
      command,
      CHANGE_LIMITS,
    );
  }

  /**
   * Reads the document of the newest configuration.
   *
   * @throws {fleet.OutcomeUnknown} it is not certain which one that is
   * @throws {fleet.Unreachable} no leader was found in time
   */
  async readConfiguration(): Promise<string> {
    const answer = await this.#call(
      protocol.gateway.METHODS.read,
      {},
      CHANGE_LIMITS,
    );
    return v.parse(v.string(), answer);
  }

  /**
   * Passes a heartbeat on to the leader.
   *
   * @throws {Error} no leader has taken it in time
   */
  async relayHeartbeat(relayed: protocol.gateway.ServerUpdate): Promise<void> {
    const method = protocol.gateway.METHODS.heartbeat;
    await this.#call(method, relayed, LEADER_LIMITS);
  }

  /** Hands the leadership to another voter, where there is one. */
  async transferLeadership(): Promise<void> {
    if (this.#driver.status.role !== "leader") return;
    const handedOver = await replication.handOver(this.#driver, HAND_OVER_MS);
    write("handed-over", { done: handedOver });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#stop.abort();
    await this.#resources[Symbol.asyncDispose]();
  }

  /** Answers locally while this host leads, and else asks the leader. */
  async #call(
    method: string,
    params: object,
    limits: fleet.CallLimits,
  ): Promise<unknown> {
    const local = this.#directory;
    if (local !== undefined && this.#leads(local)) {
      try {
        return await this.#answer(method, params);
      } catch (error) {
        if (!(error instanceof fleet.NotLeader)) throw error;
      }
    }
    const known = core.replication.allMembers(this.#driver.membership);
    this.#leader.setControlHosts(known);
    return await this.#leader.call(method, params, limits);
  }

  /** Answers what any control host takes and the leader decides. */
  #answer(method: string, params: object): unknown {
    const { METHODS } = protocol.gateway;
    switch (method) {
      case METHODS.command:
        return this.#commit(params as protocol.gateway.Command);
      case METHODS.read:
        return this.#readHere();
      case METHODS.heartbeat:
        this.#lead().handleHeartbeat(params as protocol.gateway.ServerUpdate);
        return null;
      default:
        throw new TypeError(`unexpected method ${method}`);
    }
  }

  #register(rpc: fleet.RpcServer): void {
    const { gateway, replication: messages } = protocol;
    rpc.addMethod(
      messages.METHOD_MESSAGES,
      messages.messageBatchSchema,
      (batch) => {
        this.#driver.receive(batch);
        return null;
      },
    );
    rpc.addMethod(
      messages.METHOD_IDENTITY,
      v.object({}),
      () => this.#driver.identity(),
    );
    const relayed = [
      [gateway.METHODS.command, gateway.Command],
      [gateway.METHODS.read, v.object({})],
      [gateway.METHODS.heartbeat, gateway.ServerUpdate],
    ] as const;
    for (const [method, schema] of relayed) {
      rpc.addMethod<v.GenericSchema<object>>(
        method,
        schema,
        (params) => this.#answer(method, params),
      );
    }
    rpc.addMethod(
      gateway.METHODS.watch,
      gateway.WatchRequest,
      (request) => this.#lead().watch(request),
    );
    rpc.addMethod(
      gateway.METHODS.report,
      gateway.ReportRequest,
      (report) => this.#lead().report(report),
    );
    rpc.addMethod(
      gateway.METHODS.join,
      gateway.JoinRequest,
      (request) => {
        this.#lead();
        this.#membership.recordJoinRequest(request);
        return null;
      },
    );
  }

  async #commit(command: protocol.gateway.Command): Promise<null> {
    this.#lead();
    await this.#driver.propose(JSON.stringify(command));
    this.#options.metrics.commits.inc();
    return null;
  }

  /** A committed entry proves that nobody else has led until after the call. */
  async #readHere(): Promise<string> {
    await this.#commit({ kind: "barrier" });
    return this.#replicated.state.source;
  }

  #lead(): fleetCoordinator.FleetCoordinator {
    const current = this.#directory;
    if (current !== undefined && this.#leads(current)) return current;
    const { address, name } = this.#options;
    const leader = this.leaderAddress;
    throw new fleet.NotLeader(
      "lead",
      name,
      leader === address ? null : leader,
    );
  }

  #leads({ term }: fleetCoordinator.FleetCoordinator): boolean {
    return this.#driver.hasLease() && this.#driver.status.term === term;
  }

  /** Opens a directory when this host begins to lead, and closes it after. */
  #watch(): void {
    const { role, term } = this.#driver.status;
    if (this.#directory !== undefined) {
      if (role === "leader" && term === this.#directory.term) return;
      this.#directory[Symbol.dispose]();
      this.#directory = undefined;
    }
    const isCurrent = role === "leader" && this.#driver.hasLease() &&
      this.#replicated.appliedTerm === term;
    if (!isCurrent) return;
    const {
      address,
      engineClient: engines,
      metrics,
      name,
      orderTakeoverDelayMs: orderPauseMs,
    } = this.#options;
    this.#directory = new fleetCoordinator.FleetCoordinator({
      host: name,
      // A machine that replaces another one may bear its name.
      orderHolder: `${name} ${address}`,
      term,
      engineClient: engines,
      metrics,
      orderTakeoverDelayMs: orderPauseMs,
      commit: (command) => this.#commit(command),
      state: () => this.#replicated.state,
      controlHosts: () =>
        core.replication.allMembers(this.#driver.membership)
          .map(({ address }) => address),
      hasLease: () => this.#driver.hasLease(),
    });
  }

  /** Asks the leader to be a member; members ask as well, to be kept. */
  async #join(): Promise<void> {
    const { address, id } = this.#driver.self;
    try {
      await this.#leader.call(
        protocol.gateway.METHODS.join,
        { id, address },
        JOIN_LIMITS,
      );
    } catch (error) {
      if (this.#driver.hasLog) return;
      write("not-joined", { error });
    }
  }

  async #ask(address: string): Promise<protocol.replication.Identity> {
    const answer = await this.#options.rpcClient.call(
      address,
      protocol.replication.METHOD_IDENTITY,
      {},
      IDENTITY_TIMEOUT_MS,
    );
    return v.parse(protocol.replication.identitySchema, answer);
  }
}
