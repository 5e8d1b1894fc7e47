import { softwareVersionOf, type BackendDescription, type HttpRoute } from '@canvasridge/serving';

/**
 * Binds a resumable stream to the software version of the backend that sent its first event, as the events of two
 * versions don't fit together. The binding holds for all later backends of the request.
 */
export class StreamBinding {
  #version: string | undefined;

  /** Software version of the backends that may run the stream; undefined if any may. */
  get version(): string | undefined {
    return this.#version;
  }

  /** Whether a backend may run the stream. */
  allows(backend: BackendDescription): boolean {
    return this.#version === undefined || this.#version === softwareVersionOf(backend);
  }

  /** To be called when a backend has sent the first event of its response, before that reaches the client. */
  began(route: HttpRoute, backend: BackendDescription): void {
    if (route.kind === 'stream' && route.resumable) this.#version ??= softwareVersionOf(backend);
  }
}
