/**
 * The control role of a host: its member of the replicated log and what it
 * serves while it leads.
 *
 * @module
 */
import * as protocol from "@ebonypath/protocol";
import * as v from "valibot";
import * as control from "../control/mod.ts";
import * as fleet from "../fleet/mod.ts";
import * as log from "../log/mod.ts";
import type * as metrics from "../metrics/mod.ts";
import * as replication from "../replication/mod.ts";
import * as resources from "../resources/mod.ts";
import type * as settings from "../settings/mod.ts";
import * as storage from "../storage/mod.ts";
import * as memberChanges from "./member_changes.ts";
import * as memberGroup from "./member_group.ts";

const write = log.createLog("control");

/** Time for a member to say who it is, in milliseconds. */
const IDENTITY_TIMEOUT_MS = 1_000;
/** Time for another member to take the leadership over, in milliseconds. */
const HAND_OVER_MS = 3_000;

/** What the control role shares with the rest of its host. */
export interface ControlRoleOptions {
  readonly loaded: settings.LoadedSettings;
  readonly rpcServer: fleet.RpcServer;
  readonly rpcClient: fleet.RpcClient;
  readonly metrics: metrics.Metrics;
  /** The disk or the state has failed: the process has to end. */
  onFailure(error: unknown): void;
}

/** One member of the replicated state in this process. */
export class ControlRole implements AsyncDisposable {
  readonly #options: ControlRoleOptions;
  readonly #driver: replication.ReplicationDriver;
  readonly #group: memberGroup.MemberGroup;
  readonly #node: control.ControlNode;
  readonly #changes: memberChanges.MemberChanges;
  readonly #resources: resources.ResourceStack;
  readonly #stop = new AbortController();

  private constructor(
    options: ControlRoleOptions,
    store: storage.Store,
    owned: resources.ResourceStack,
  ) {
    const { loaded, metrics, rpcClient, rpcServer } = options;
    const self = {
      id: store.recovered.identity.id,
      address: protocol.settings.fleetAddress(loaded.settings.listen),
    };
    const replicated = new control.ReplicatedState();
    this.#options = options;
    this.#resources = owned;
    const transport = owned.use(
      new replication.HttpTransport({
        ...rpcClient.options,
        self,
      }),
    );
    this.#driver = owned.use(
      new replication.ReplicationDriver({
        self,
        store,
        machine: replicated,
        transport,
        onFailure: (error) => options.onFailure(error),
      }),
    );
    this.#group = new memberGroup.MemberGroup(
      this.#driver,
      (address) => this.#ask(address),
    );
    this.#node = owned.use(
      new control.ControlNode({
        address: self.address,
        log: this.#group,
        replicated,
        metrics,
      }),
    );
    this.#changes = new memberChanges.MemberChanges({
      group: this.#group,
      node: this.#node,
      stamp: (command) => replicated.stamp(command, Date.now()),
    });
    this.#register(rpcServer);
  }

  /**
   * Recovers the member from its data folder.
   *
   * @throws {storage.FolderInUse} another process works on the folder
   * @throws {storage.StorageError} the folder can't be used or is damaged
   */
  static async start(options: ControlRoleOptions): Promise<ControlRole> {
    const { dataFolder, name } = options.loaded.settings.host;
    if (dataFolder === undefined) {
      throw new TypeError("the control role needs a data folder");
    }
    const owned = new resources.ResourceStack();
    try {
      const { folder } = owned.use(await storage.lockFolder(dataFolder));
      const store = owned.use(await storage.openStore(folder, { name }));
      return new ControlRole(options, store, owned);
    } catch (error) {
      await owned[Symbol.asyncDispose]();
      throw error;
    }
  }

  /** Joins the group, once the fleet listener answers. */
  join(): void {
    const { initialVoters } = this.#options.loaded.settings.control;
    this.#driver.start();
    if (this.#driver.hasLog || initialVoters.length === 0) return;
    void replication.bootstrapGroup(
      this.#driver,
      initialVoters,
      (address) => this.#ask(address),
      this.#stop.signal,
    );
  }

  /** Sets the metrics that are looked up when they are read. */
  updateMetrics(): void {
    this.#node.updateMetrics(Date.now());
  }

  /** Hands the leadership to another voter, where there is one. */
  async handOver(): Promise<void> {
    if (await this.#group.handOver(HAND_OVER_MS)) {
      write("leadership-handed-over");
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#stop.abort();
    await this.#resources[Symbol.asyncDispose]();
  }

  #register(rpc: fleet.RpcServer): void {
    rpc.addMethod(
      protocol.replication.MESSAGES_METHOD,
      protocol.replication.messageBatchSchema,
      (batch) => {
        this.#driver.receive(batch);
        return null;
      },
    );
    rpc.addMethod(
      protocol.replication.IDENTITY_METHOD,
      v.object({}),
      () => this.#driver.identity(),
    );
    const lookup = this.#resources.use(
      new fleet.LeaderLookup({
        address: this.#driver.self.address,
        isLeading: () => this.#node.leadership !== undefined,
        leaderAddress: () => this.#group.leaderAddress,
      }),
    );
    lookup.register(rpc);
    rpc.addMethod(
      protocol.control.CHANGE_MEMBERS_METHOD,
      protocol.control.MemberChange,
      (change) => this.#changes.change(change),
    );
    this.#node.register(rpc);
  }

  async #ask(address: string): Promise<protocol.replication.Identity> {
    const answer = await this.#options.rpcClient.call(
      address,
      protocol.replication.IDENTITY_METHOD,
      {},
      IDENTITY_TIMEOUT_MS,
    );
    return v.parse(protocol.replication.identitySchema, answer);
  }
}
