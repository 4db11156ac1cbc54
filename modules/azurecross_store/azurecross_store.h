#pragma once

/**
 * The platform's services: the key-value store through etcd's JSON gateway,
 * the VM list, and on top of them the editor of the tables and the watcher
 * that keeps an entry's tables up to date.
 */

#include "editor/EditOutcome.h"
#include "editor/TableEditor.h"
#include "etcd/EtcdClient.h"
#include "store/StoreClient.h"
#include "store/StoreTypes.h"
#include "store/TableReader.h"
#include "vms/VmListClient.h"
#include "watcher/Backoff.h"
#include "watcher/StoreWatcher.h"
