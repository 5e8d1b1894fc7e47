import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { ExitCode, type CommandDefinition } from '@canvasridge/settings';
import {
  DEPLOYMENT_NAMES,
  buildDeployment,
  type DeploymentModel,
  type DeploymentName,
} from '../deployments/deployments.js';

const ADAPTERS = 5000;
const HOST = '127.0.0.1';
/** First port of each kind of listener. Each deployment adds a multiple of PORT_BLOCK_SIZE. */
const PORTS = {
  platform: 7000,
  engines: 7100,
  services: 7200,
  callers: 7300,
  peers: 7400,
  gossip: 7500,
} as const;
const PORT_BLOCK_SIZE = 1000;

export const examplesCommand: CommandDefinition = {
  name: 'write-examples',
  summary: 'Writes settings and configurations of both deployments, on loopback addresses, into a folder.',
  options: { output: { type: 'string', help: 'folder', default: 'examples', placeholder: 'DIR' } },
  run: async (input) => {
    const folder = input.text('output') ?? 'examples';
    for (const [index, name] of DEPLOYMENT_NAMES.entries())
      await writeExample(join(folder, name), name, index * PORT_BLOCK_SIZE);
    return ExitCode.success;
  },
};

async function writeExample(folder: string, name: DeploymentName, offset: number): Promise<void> {
  const model = buildDeployment(name, { adapters: ADAPTERS });
  await mkdir(folder, { recursive: true });
  const write = (file: string, value: unknown): Promise<void> =>
    writeFile(join(folder, file), `${JSON.stringify(value, null, file === 'configuration.json' ? 0 : 2)}\n`);
  await write('configuration.json', withLoopbackUrls(model, offset));
  await write('standin.json', standinSettings(model, offset));
  for (const [index] of model.nodes.entries())
    await write(`node-${index + 1}.json`, nodeSettings(model, index, offset));
}

function withLoopbackUrls(model: DeploymentModel, offset: number): unknown {
  const { configuration } = model;
  return {
    ...configuration,
    engines: configuration.engines.map((engine, index) => ({
      ...engine,
      url: url(PORTS.engines, offset, index),
    })),
    services: configuration.services.map((service) => ({
      ...service,
      backEnds: service.backEnds.map((backEnd, index) => ({
        ...backEnd,
        url: url(PORTS.services, offset, index),
      })),
    })),
  };
}

function standinSettings(model: DeploymentModel, offset: number): unknown {
  const { configuration } = model;
  return {
    listen: address(PORTS.platform, offset, 0),
    engines: configuration.engines.map(({ id, base, slots, maxBatch, checksFence }, index) => ({
      id,
      base,
      slots,
      maxBatch,
      checksFence,
      listen: address(PORTS.engines, offset, index),
    })),
    services: configuration.services.flatMap((service) =>
      service.backEnds.map((_backEnd, index) => ({
        name: service.name,
        listen: address(PORTS.services, offset, index),
      })),
    ),
    weightStore: model.weightStore,
    machines: {
      list: model.nodes.map((node, index) => ({
        id: node.id,
        role: 'entry',
        gossip: address(PORTS.gossip, offset, index),
      })),
    },
  };
}

function nodeSettings(model: DeploymentModel, index: number, offset: number): unknown {
  const platform = url(PORTS.platform, offset, 0);
  return {
    node: model.nodes[index],
    listen: {
      callers: address(PORTS.callers, offset, index),
      peers: address(PORTS.peers, offset, index),
      gossip: address(PORTS.gossip, offset, index),
    },
    platform: { configurationUrl: platform, machineListUrl: platform },
    peerKey: 'example-peer-key-change-me',
    adminKey: 'example-admin-key-change-me',
  };
}

function address(firstPort: number, offset: number, index: number): string {
  return `${HOST}:${firstPort + offset + index}`;
}

function url(firstPort: number, offset: number, index: number): string {
  return `http://${address(firstPort, offset, index)}`;
}
