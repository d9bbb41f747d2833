import { parentPort, workerData } from 'node:worker_threads';
import { EngineStandIn } from '@chervilseam/stand-ins';

/** A stand-in engine on a thread of its own, so that it takes nothing from the daemons' core. */
const engine = new EngineStandIn(workerData as ConstructorParameters<typeof EngineStandIn>[0]);
await engine.listen();
parentPort?.postMessage(engine.url);
